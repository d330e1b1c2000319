package myrtleladder.consensus;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decodes what {@link MessageEncoder} writes. Whatever differs from that format is refused with a
 * reason.
 */
final class MessageDecoder {
    private static final String MALFORMED = "malformed";
    private static final JsonFactory JSON = new JsonFactory();
    private static final int HEXADECIMAL = 16;

    private MessageDecoder() {}

    /** A datagram or snapshot is refused; the message is the reason, as operators see it. */
    static final class DecodingException extends Exception {
        private static final long serialVersionUID = 1L;

        DecodingException(String reason) {
            // Without a stack trace: a flood of bad datagrams would make it expensive.
            super(reason, null, false, false);
        }
    }

    /** All fields that any object of the format may have; users check for those they need. */
    private static final class Fields {
        int version;
        String fleet;
        String kind;
        ProcessId from;
        ProcessId to;
        ProcessId proposer;
        Term term;
        Term indexTerm;
        long index;
        long number;
        long offset;
        long total;
        int flags;
        long epoch;
        long viewNumber = -1;
        Map<String, Long> lives = Map.of();
        Map<String, Long> memberChanges = Map.of();
        byte[] bytes = new byte[0];
        final List<Fields> log = new ArrayList<>();
        final List<Fields> applied = new ArrayList<>();

        private boolean hasFlag(int flag) {
            return (flags & flag) != 0;
        }

        private MessageFrame toFrame() throws DecodingException {
            List<LogEntry> entries = new ArrayList<>();
            for (Fields entry : log) {
                entries.add(entry.toEntry());
            }
            return new MessageFrame(
                    MessageFrame.Kind.ofWireName(kind),
                    from,
                    to,
                    term,
                    index,
                    indexTerm,
                    number,
                    offset,
                    total,
                    hasFlag(MessageEncoder.POSITIVE_FLAG),
                    hasFlag(MessageEncoder.VOTER_FLAG),
                    hasFlag(MessageEncoder.READY_TO_BOOTSTRAP_FLAG),
                    entries,
                    bytes,
                    memberChanges);
        }

        private LogEntry toEntry() throws DecodingException {
            LogEntry.Kind entryKind = kind == null ? null : LogEntry.Kind.ofWireName(kind);
            expect(
                    entryKind != null
                            && term != null
                            && index > 0
                            && (entryKind == LogEntry.Kind.COMMAND) == (proposer != null));
            byte[] command = proposer == null ? null : bytes;
            return new LogEntry(
                    index, term, entryKind, memberChanges, null, proposer, number, command);
        }

        private NodeSnapshot toSnapshot() throws DecodingException {
            expect(viewNumber >= 0);
            Map<ProcessId, Long> appliedSequences = new LinkedHashMap<>();
            for (Fields entry : applied) {
                expect(entry.proposer != null);
                appliedSequences.put(entry.proposer, entry.number);
            }
            return new NodeSnapshot(new View(epoch, viewNumber, lives), appliedSequences, bytes);
        }
    }

    /**
     * Decodes a datagram of a cluster.
     *
     * @throws DecodingException if it is malformed, of a later version or of another cluster
     */
    static MessageFrame decode(byte[] datagram, String fleet) throws DecodingException {
        try (JsonParser json = JSON.createParser(datagram)) {
            expect(json.nextToken() == JsonToken.START_OBJECT);
            Fields fields = readFields(json);
            expect(
                    json.nextToken() == null
                            && fields.version == MessageFrame.VERSION
                            && fields.kind != null
                            && fields.from != null
                            && fields.term != null
                            && fields.indexTerm != null);
            if (!fleet.equals(fields.fleet)) {
                throw new DecodingException("foreign");
            }
            return fields.toFrame();
        } catch (IOException | IllegalArgumentException e) {
            throw new DecodingException(MALFORMED);
        }
    }

    /**
     * Decodes a snapshot.
     *
     * @throws DecodingException if it is malformed
     */
    static NodeSnapshot decodeSnapshot(byte[] bytes) throws DecodingException {
        try (JsonParser json = JSON.createParser(bytes)) {
            expect(json.nextToken() == JsonToken.START_OBJECT);
            return readFields(json).toSnapshot();
        } catch (IOException | IllegalArgumentException e) {
            throw new DecodingException(MALFORMED);
        }
    }

    private static Fields readFields(JsonParser json) throws IOException, DecodingException {
        Fields fields = new Fields();
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String field = json.currentName();
            json.nextToken();
            readField(json, field, fields);
            if (fields.version > MessageFrame.VERSION) {
                // Before anything is judged that a later version may write differently.
                throw new DecodingException("version");
            }
        }
        return fields;
    }

    private static void readField(JsonParser json, String field, Fields fields)
            throws IOException, DecodingException {
        switch (field) {
            case "v" -> fields.version = json.getIntValue();
            case "agree" -> fields.fleet = json.getText();
            case "kind" -> fields.kind = json.getText();
            case "from" -> fields.from = readProcess(json);
            case "to" -> fields.to = readProcess(json);
            case "by" -> fields.proposer = readProcess(json);
            case "term" -> fields.term = readTerm(json);
            case "at" -> fields.indexTerm = readTerm(json);
            case "i" -> fields.index = json.getLongValue();
            case "no" -> fields.number = json.getLongValue();
            case "o" -> fields.offset = json.getLongValue();
            case "of" -> fields.total = json.getLongValue();
            case "is" -> fields.flags = json.getIntValue();
            case "epoch" -> fields.epoch = json.getLongValue();
            case "view" -> fields.viewNumber = json.getLongValue();
            case "lives" -> fields.lives = readStartIds(json);
            case "cut" -> fields.memberChanges = readStartIds(json);
            case "b" -> fields.bytes = json.getBinaryValue();
            case "log" -> readObjects(json, fields.log);
            case "taken" -> readObjects(json, fields.applied);
            default -> throw new DecodingException(MALFORMED);
        }
    }

    private static void readObjects(JsonParser json, List<Fields> objects)
            throws IOException, DecodingException {
        expect(json.currentToken() == JsonToken.START_ARRAY);
        while (json.nextToken() != JsonToken.END_ARRAY) {
            expect(json.currentToken() == JsonToken.START_OBJECT);
            objects.add(readFields(json));
        }
    }

    private static ProcessId readProcess(JsonParser json) throws IOException, DecodingException {
        String text = json.getText();
        int space = text.indexOf(' ');
        expect(space > 0 && space < text.length() - 1);
        return new ProcessId(text.substring(space + 1), parseHexadecimal(text.substring(0, space)));
    }

    private static Term readTerm(JsonParser json) throws IOException, DecodingException {
        expect(json.currentToken() == JsonToken.START_ARRAY);
        json.nextToken();
        long epoch = json.getLongValue();
        json.nextToken();
        long round = json.getLongValue();
        expect(json.nextToken() == JsonToken.END_ARRAY && epoch >= 0 && round >= 0);
        return new Term(epoch, round);
    }

    private static Map<String, Long> readStartIds(JsonParser json)
            throws IOException, DecodingException {
        expect(json.currentToken() == JsonToken.START_OBJECT);
        Map<String, Long> lives = new TreeMap<>();
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            json.nextToken();
            lives.put(name, parseHexadecimal(json.getText()));
        }
        return lives;
    }

    private static long parseHexadecimal(String text) {
        return Long.parseUnsignedLong(text, HEXADECIMAL);
    }

    private static void expect(boolean isValid) throws DecodingException {
        if (!isValid) {
            throw new DecodingException(MALFORMED);
        }
    }
}
