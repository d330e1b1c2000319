package myrtleladder.consensus;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Messages and snapshots as JSON, and back. What is not exactly as written here is refused. */
final class MessageCodec {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int HEX = 16;

    /** How each message begins. */
    private static final byte[] BEGINS =
            ("{\"v\":" + Message.VERSION + ",\"agree\":")
                    .getBytes(java.nio.charset.StandardCharsets.US_ASCII);

    private MessageCodec() {}

    static boolean isOurs(byte[] datagram) {
        return datagram.length >= BEGINS.length
                && java.util.Arrays.equals(datagram, 0, BEGINS.length, BEGINS, 0, BEGINS.length);
    }

    /** Says why something is refused. */
    static final class Refused extends Exception {
        private static final long serialVersionUID = 1L;

        Refused(String why) {
            super(why, null, false, false); // thrown for each datagram of a flood: without a trace
        }
    }

    /** What a snapshot holds beside the place in the log for which it stands. */
    record Snapshot(View view, Map<Life, Long> taken, byte[] machine) {}

    private interface Writing {
        void to(JsonGenerator json) throws IOException;
    }

    private static byte[] write(Writing what) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(512);
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            what.to(json);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // there is no file behind it
        }
        return out.toByteArray();
    }

    static byte[] write(String fleet, Message m) {
        return write(
                json -> {
                    json.writeNumberField("v", Message.VERSION);
                    json.writeStringField("agree", fleet);
                    json.writeStringField("kind", m.kind().name());
                    life(json, "from", m.from());
                    if (m.to() != null) {
                        life(json, "to", m.to());
                    }
                    term(json, "term", m.term());
                    json.writeNumberField("i", m.index());
                    term(json, "at", m.at());
                    json.writeNumberField("no", m.number());
                    json.writeNumberField("o", m.offset());
                    json.writeNumberField("of", m.total());
                    json.writeNumberField(
                            "is", (m.yes() ? 1 : 0) | (m.voter() ? 2 : 0) | (m.ripe() ? 4 : 0));
                    if (m.bytes().length > 0) {
                        json.writeBinaryField("b", m.bytes());
                    }
                    if (!m.cut().isEmpty()) {
                        lives(json, "cut", m.cut());
                    }
                    if (!m.entries().isEmpty()) {
                        json.writeArrayFieldStart("log");
                        for (LogEntry e : m.entries()) {
                            entry(json, e);
                        }
                        json.writeEndArray();
                    }
                });
    }

    /** How many bytes an entry takes in a message. */
    static int size(LogEntry entry) {
        return write(
                        json -> {
                            json.writeFieldName("e");
                            entry(json, entry);
                        })
                .length;
    }

    static byte[] write(Snapshot s) {
        return write(
                json -> {
                    view(json, s.view());
                    json.writeArrayFieldStart("taken");
                    for (Map.Entry<Life, Long> t : s.taken().entrySet()) {
                        json.writeStartObject();
                        life(json, "by", t.getKey());
                        json.writeNumberField("no", t.getValue());
                        json.writeEndObject();
                    }
                    json.writeEndArray();
                    json.writeBinaryField("b", s.machine());
                });
    }

    private static void entry(JsonGenerator json, LogEntry e) throws IOException {
        json.writeStartObject();
        json.writeNumberField("i", e.index());
        term(json, "term", e.term());
        json.writeStringField("kind", e.kind().name());
        json.writeNumberField("no", e.number());
        if (e.hasView()) {
            lives(json, "cut", e.change());
        }
        if (e.by() != null) {
            life(json, "by", e.by());
            json.writeBinaryField("b", e.command());
        }
        json.writeEndObject();
    }

    private static void life(JsonGenerator json, String field, Life life) throws IOException {
        json.writeStringField(field, Long.toHexString(life.life()) + " " + life.name());
    }

    private static void term(JsonGenerator json, String field, Term term) throws IOException {
        json.writeArrayFieldStart(field);
        json.writeNumber(term.epoch());
        json.writeNumber(term.round());
        json.writeEndArray();
    }

    private static void view(JsonGenerator json, View view) throws IOException {
        json.writeNumberField("epoch", view.epoch());
        json.writeNumberField("view", view.number());
        lives(json, "lives", view.lives());
    }

    private static void lives(JsonGenerator json, String field, Map<String, Long> lives)
            throws IOException {
        json.writeObjectFieldStart(field);
        for (Map.Entry<String, Long> life : lives.entrySet()) {
            json.writeStringField(life.getKey(), Long.toHexString(life.getValue()));
        }
        json.writeEndObject();
    }

    // ---- Reading
    // ---------------------------------------------------------------------------------------

    /**
     * All fields that any object of ours may have; which of them it needs is looked at where it is
     * used.
     */
    private static final class Fields {
        int version;
        String fleet;
        String kind;
        Life from;
        Life to;
        Life by;
        Term term;
        Term at;
        long index;
        long number;
        long offset;
        long total;
        int is;
        long epoch;
        long view = -1;
        Map<String, Long> lives = Map.of();
        Map<String, Long> cut = Map.of();
        byte[] bytes = new byte[0];
        final List<Fields> log = new ArrayList<>();
        final List<Fields> taken = new ArrayList<>();

        View itsView() {
            return view < 0 ? null : new View(epoch, view, lives);
        }

        LogEntry entry() throws Refused {
            LogEntry.Kind its = kind == null ? null : LogEntry.Kind.valueOf(kind);
            expect(
                    its != null
                            && term != null
                            && index > 0
                            && (its == LogEntry.Kind.COMMAND) == (by != null));
            return new LogEntry(index, term, its, cut, null, by, number, by == null ? null : bytes);
        }
    }

    /** Reads a datagram of one fleet. */
    static Message read(byte[] datagram, String fleet) throws Refused {
        try (JsonParser json = JSON.createParser(datagram)) {
            expect(json.nextToken() == JsonToken.START_OBJECT);
            Fields f = fields(json);
            expect(
                    json.nextToken() == null
                            && f.version == Message.VERSION
                            && f.kind != null
                            && f.from != null
                            && f.term != null
                            && f.at != null);
            if (!fleet.equals(f.fleet)) {
                throw new Refused("foreign");
            }
            List<LogEntry> entries = new ArrayList<>();
            for (Fields e : f.log) {
                entries.add(e.entry());
            }
            return new Message(
                    Message.Kind.valueOf(f.kind),
                    f.from,
                    f.to,
                    f.term,
                    f.index,
                    f.at,
                    f.number,
                    f.offset,
                    f.total,
                    (f.is & 1) != 0,
                    (f.is & 2) != 0,
                    (f.is & 4) != 0,
                    entries,
                    f.bytes,
                    f.cut);
        } catch (IOException | IllegalArgumentException e) {
            throw new Refused("malformed");
        }
    }

    static Snapshot snapshot(byte[] bytes) throws Refused {
        try (JsonParser json = JSON.createParser(bytes)) {
            expect(json.nextToken() == JsonToken.START_OBJECT);
            Fields f = fields(json);
            expect(f.itsView() != null);
            Map<Life, Long> taken = new java.util.LinkedHashMap<>();
            for (Fields t : f.taken) {
                expect(t.by != null);
                taken.put(t.by, t.number);
            }
            return new Snapshot(f.itsView(), taken, f.bytes);
        } catch (IOException | IllegalArgumentException e) {
            throw new Refused("malformed");
        }
    }

    private static Fields fields(JsonParser json) throws IOException, Refused {
        Fields f = new Fields();
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String field = json.currentName();
            json.nextToken();
            switch (field) {
                case "v" -> f.version = json.getIntValue();
                case "agree" -> f.fleet = json.getText();
                case "kind" -> f.kind = json.getText();
                case "from" -> f.from = life(json);
                case "to" -> f.to = life(json);
                case "by" -> f.by = life(json);
                case "term" -> f.term = term(json);
                case "at" -> f.at = term(json);
                case "i" -> f.index = json.getLongValue();
                case "no" -> f.number = json.getLongValue();
                case "o" -> f.offset = json.getLongValue();
                case "of" -> f.total = json.getLongValue();
                case "is" -> f.is = json.getIntValue();
                case "epoch" -> f.epoch = json.getLongValue();
                case "view" -> f.view = json.getLongValue();
                case "lives" -> f.lives = lives(json);
                case "cut" -> f.cut = lives(json);
                case "b" -> f.bytes = json.getBinaryValue();
                case "log" -> list(json, f.log);
                case "taken" -> list(json, f.taken);
                default -> throw new Refused("malformed");
            }
            if (f.version > Message.VERSION) {
                throw new Refused(
                        "version"); // before anything that it may write otherwise is judged
            }
        }
        return f;
    }

    private static void list(JsonParser json, List<Fields> into) throws IOException, Refused {
        expect(json.currentToken() == JsonToken.START_ARRAY);
        while (json.nextToken() != JsonToken.END_ARRAY) {
            expect(json.currentToken() == JsonToken.START_OBJECT);
            into.add(fields(json));
        }
    }

    private static Life life(JsonParser json) throws IOException, Refused {
        String text = json.getText();
        int space = text.indexOf(' ');
        expect(space > 0 && space < text.length() - 1);
        return new Life(
                text.substring(space + 1), Long.parseUnsignedLong(text.substring(0, space), HEX));
    }

    private static Term term(JsonParser json) throws IOException, Refused {
        expect(json.currentToken() == JsonToken.START_ARRAY);
        json.nextToken();
        long epoch = json.getLongValue();
        json.nextToken();
        long round = json.getLongValue();
        expect(json.nextToken() == JsonToken.END_ARRAY && epoch >= 0 && round >= 0);
        return new Term(epoch, round);
    }

    private static Map<String, Long> lives(JsonParser json) throws IOException, Refused {
        expect(json.currentToken() == JsonToken.START_OBJECT);
        Map<String, Long> lives = new TreeMap<>();
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            json.nextToken();
            lives.put(name, Long.parseUnsignedLong(json.getText(), HEX));
        }
        return lives;
    }

    private static void expect(boolean good) throws Refused {
        if (!good) {
            throw new Refused("malformed");
        }
    }
}
