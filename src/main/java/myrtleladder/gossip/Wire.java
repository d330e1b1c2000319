package myrtleladder.gossip;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** Messages as JSON, and back. What is not exactly as written here is refused, with a reason. */
final class Wire {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int LONGEST_NAME = 64;
    private static final int MOST = 64;
    private static final int HEX = 16;
    private static final long HIGHEST = 1L << 52;

    private Wire() {}

    /** Says why a datagram is refused. */
    static final class Refused extends Exception {
        private static final long serialVersionUID = 1L;

        Refused(String why) {
            super(why, null, false, false); // thrown for each datagram of a flood: without a trace
        }
    }

    /** A message without its news, as bytes that {@link #news} goes into. */
    static byte[] write(Message m) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(512);
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeNumberField("v", Message.VERSION);
            json.writeStringField("fleet", m.fleet());
            json.writeStringField("kind", m.kind().name());
            json.writeNumberField("no", m.number());
            json.writeStringField("digest", Long.toHexString(m.digest()));
            json.writeFieldName("me");
            claim(json, m.me());
            if (m.target() != null) {
                json.writeStringField("target", m.target());
            }
            if (!m.digests().isEmpty()) {
                json.writeArrayFieldStart("parts");
                for (long digest : m.digests()) {
                    json.writeString(Long.toHexString(digest));
                }
                json.writeEndArray();
            }
            if (m.wanted() != 0) {
                json.writeStringField("wanted", Long.toHexString(m.wanted()));
            }
            if (!m.news().isEmpty()) {
                json.writeArrayFieldStart("news");
                for (Claim c : m.news()) {
                    claim(json, c);
                }
                json.writeEndArray();
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // there is no file behind it
        }
        return out.toByteArray();
    }

    /** How many bytes a claim takes in a message. */
    static int size(Claim claim) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (JsonGenerator json = JSON.createGenerator(out)) {
            claim(json, claim);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.size() + 1;
    }

    private static void claim(JsonGenerator json, Claim c) throws IOException {
        json.writeStartObject();
        json.writeStringField("n", c.name());
        json.writeStringField("l", Long.toHexString(c.life()));
        json.writeNumberField("i", c.incarnation());
        json.writeStringField("s", c.state().name());
        if (c.rival()) {
            json.writeBooleanField("rival", true);
        }
        json.writeStringField("a", c.address());
        json.writeStringField("by", c.by());
        json.writeStringField("z", c.meta().zone());
        json.writeStringField("b", c.meta().build());
        json.writeNumberField("t", c.meta().startedMs());
        if (!c.meta().can().isEmpty()) {
            json.writeArrayFieldStart("can");
            for (String word : c.meta().can()) {
                json.writeString(word);
            }
            json.writeEndArray();
        }
        json.writeEndObject();
    }

    /** Reads a datagram of one fleet. */
    static Message read(byte[] datagram, String fleet) throws Refused {
        try (JsonParser json = JSON.createParser(datagram)) {
            return read(json, fleet);
        } catch (IOException | IllegalArgumentException e) {
            throw new Refused("malformed");
        }
    }

    private static Message read(JsonParser json, String fleet) throws IOException, Refused {
        String its = null;
        Message.Kind kind = null;
        Claim me = null;
        long number = 0;
        long digest = 0;
        String target = null;
        List<Long> parts = List.of();
        long wanted = 0;
        List<Claim> news = List.of();
        int version = 0;
        expect(json.nextToken() == JsonToken.START_OBJECT);
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String field = json.currentName();
            json.nextToken();
            switch (field) {
                case "v" -> version = json.getIntValue();
                case "fleet" -> its = text(json);
                case "kind" -> kind = Message.Kind.valueOf(text(json));
                case "me" -> me = claim(json);
                case "no" -> number = json.getLongValue();
                case "digest" -> digest = hex(json);
                case "target" -> target = text(json);
                case "parts" -> parts = parts(json);
                case "wanted" -> wanted = hex(json);
                case "news" -> news = news(json);
                default -> throw new Refused("malformed");
            }
            if (version > 1 || version < 0) {
                throw new Refused(
                        "version"); // before anything that it may write otherwise is judged
            }
        }
        expect(
                json.nextToken() == null
                        && version == Message.VERSION
                        && kind != null
                        && me != null);
        expect(me.state() == State.ALIVE || me.state() == State.LEFT);
        if (!fleet.equals(its)) {
            throw new Refused("foreign");
        }
        return new Message(its, kind, me, number, digest, target, parts, wanted, news);
    }

    private static void expect(boolean good) throws Refused {
        if (!good) {
            throw new Refused("malformed");
        }
    }

    private static String text(JsonParser json) throws IOException, Refused {
        expect(
                json.currentToken() == JsonToken.VALUE_STRING
                        && json.getTextLength() <= LONGEST_NAME);
        return json.getText();
    }

    private static long hex(JsonParser json) throws IOException, Refused {
        return Long.parseUnsignedLong(text(json), HEX);
    }

    private static List<Long> parts(JsonParser json) throws IOException, Refused {
        expect(json.currentToken() == JsonToken.START_ARRAY);
        List<Long> parts = new ArrayList<>();
        while (json.nextToken() != JsonToken.END_ARRAY) {
            parts.add(hex(json));
            expect(parts.size() <= MOST);
        }
        return parts;
    }

    private static List<Claim> news(JsonParser json) throws IOException, Refused {
        expect(json.currentToken() == JsonToken.START_ARRAY);
        List<Claim> news = new ArrayList<>();
        while (json.nextToken() != JsonToken.END_ARRAY) {
            news.add(claim(json));
            expect(news.size() <= MOST);
        }
        return news;
    }

    private static Claim claim(JsonParser json) throws IOException, Refused {
        expect(json.currentToken() == JsonToken.START_OBJECT);
        String name = "";
        long life = 0;
        long incarnation = 0;
        State state = null;
        boolean rival = false;
        String address = "";
        String by = "";
        String zone = "";
        String build = "";
        long started = 0;
        List<String> can = new ArrayList<>();
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String field = json.currentName();
            json.nextToken();
            switch (field) {
                case "n" -> name = text(json);
                case "l" -> life = hex(json);
                case "i" -> incarnation = json.getLongValue();
                case "s" -> state = State.valueOf(text(json));
                case "rival" -> rival = json.getBooleanValue();
                case "a" -> address = text(json);
                case "by" -> by = text(json);
                case "z" -> zone = text(json);
                case "b" -> build = text(json);
                case "t" -> started = json.getLongValue();
                case "can" -> {
                    expect(json.currentToken() == JsonToken.START_ARRAY);
                    while (json.nextToken() != JsonToken.END_ARRAY) {
                        can.add(text(json));
                        expect(can.size() <= Meta.MOST);
                    }
                }
                default -> throw new Refused("malformed");
            }
        }
        expect(!name.isEmpty() && state != null && !address.isEmpty());
        expect(incarnation >= 0 && incarnation <= HIGHEST); // there has to be room to contradict
        return new Claim(
                name,
                life,
                incarnation,
                state,
                rival,
                address,
                by,
                new Meta(zone, build, started, can));
    }
}
