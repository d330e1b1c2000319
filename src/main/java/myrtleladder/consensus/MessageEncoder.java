package myrtleladder.consensus;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;

/**
 * Encodes messages and snapshots as JSON. Names and order of the fields are the wire format, which
 * {@link MessageDecoder} reads; processes of two versions exchange it during a rolling update.
 */
final class MessageEncoder {
    /** Upper bound of a datagram's size without its entries, or without the part of a snapshot. */
    static final int MAX_HEADER_BYTES = 420;

    static final int POSITIVE_FLAG = 1;
    static final int VOTER_FLAG = 2;
    static final int READY_TO_BOOTSTRAP_FLAG = 4;

    /** Initial size of the buffer of an encoded object. */
    private static final int INITIAL_BUFFER_BYTES = 512;

    private static final JsonFactory JSON = new JsonFactory();

    /** How each datagram of this protocol begins, and no other one on the socket. */
    private static final byte[] PREFIX =
            ("{\"v\":" + MessageFrame.VERSION + ",\"agree\":").getBytes(StandardCharsets.US_ASCII);

    private MessageEncoder() {}

    /** Writes the fields of an object. */
    private interface Fields {
        void writeTo(JsonGenerator json) throws IOException;
    }

    static boolean isConsensusDatagram(byte[] datagram) {
        return datagram.length >= PREFIX.length
                && Arrays.equals(datagram, 0, PREFIX.length, PREFIX, 0, PREFIX.length);
    }

    private static byte[] encodeObject(Fields fields) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            fields.writeTo(json);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // not expected: the output is in memory
        }
        return out.toByteArray();
    }

    /** Encodes a datagram of a cluster. */
    static byte[] encode(String fleet, MessageFrame frame) {
        return encodeObject(
                json -> {
                    json.writeNumberField("v", MessageFrame.VERSION);
                    json.writeStringField("agree", fleet);
                    json.writeStringField("kind", frame.kind().wireName());
                    writeProcess(json, "from", frame.from());
                    if (frame.to() != null) {
                        writeProcess(json, "to", frame.to());
                    }
                    writeTerm(json, "term", frame.term());
                    json.writeNumberField("i", frame.index());
                    writeTerm(json, "at", frame.indexTerm());
                    json.writeNumberField("no", frame.number());
                    json.writeNumberField("o", frame.offset());
                    json.writeNumberField("of", frame.total());
                    json.writeNumberField("is", flags(frame));
                    if (frame.bytes().length > 0) {
                        json.writeBinaryField("b", frame.bytes());
                    }
                    if (!frame.memberChanges().isEmpty()) {
                        writeStartIds(json, "cut", frame.memberChanges());
                    }
                    if (!frame.entries().isEmpty()) {
                        json.writeArrayFieldStart("log");
                        for (LogEntry entry : frame.entries()) {
                            writeEntry(json, entry);
                        }
                        json.writeEndArray();
                    }
                });
    }

    private static int flags(MessageFrame frame) {
        return (frame.isPositive() ? POSITIVE_FLAG : 0)
                | (frame.isVoter() ? VOTER_FLAG : 0)
                | (frame.isReadyToBootstrap() ? READY_TO_BOOTSTRAP_FLAG : 0);
    }

    /** Upper bound of the bytes that an entry takes in a datagram. */
    static int encodedSize(LogEntry entry) {
        return encodeObject(
                        json -> {
                            json.writeFieldName("e");
                            writeEntry(json, entry);
                        })
                .length;
    }

    static byte[] encode(NodeSnapshot snapshot) {
        return encodeObject(
                json -> {
                    json.writeNumberField("epoch", snapshot.view().epoch());
                    json.writeNumberField("view", snapshot.view().number());
                    writeStartIds(json, "lives", snapshot.view().startIds());
                    json.writeArrayFieldStart("taken");
                    for (Map.Entry<ProcessId, Long> applied :
                            snapshot.appliedSequences().entrySet()) {
                        json.writeStartObject();
                        writeProcess(json, "by", applied.getKey());
                        json.writeNumberField("no", applied.getValue());
                        json.writeEndObject();
                    }
                    json.writeEndArray();
                    json.writeBinaryField("b", snapshot.stateMachine());
                });
    }

    private static void writeEntry(JsonGenerator json, LogEntry entry) throws IOException {
        json.writeStartObject();
        json.writeNumberField("i", entry.index());
        writeTerm(json, "term", entry.term());
        json.writeStringField("kind", entry.kind().wireName());
        json.writeNumberField("no", entry.sequence());
        if (entry.isViewChange()) {
            writeStartIds(json, "cut", entry.memberChanges());
        }
        if (entry.proposer() != null) {
            writeProcess(json, "by", entry.proposer());
            json.writeBinaryField("b", entry.command());
        }
        json.writeEndObject();
    }

    private static void writeProcess(JsonGenerator json, String field, ProcessId process)
            throws IOException {
        json.writeStringField(field, Long.toHexString(process.startId()) + " " + process.name());
    }

    private static void writeTerm(JsonGenerator json, String field, Term term) throws IOException {
        json.writeArrayFieldStart(field);
        json.writeNumber(term.epoch());
        json.writeNumber(term.round());
        json.writeEndArray();
    }

    private static void writeStartIds(JsonGenerator json, String field, Map<String, Long> lives)
            throws IOException {
        json.writeObjectFieldStart(field);
        for (Map.Entry<String, Long> startId : lives.entrySet()) {
            json.writeStringField(startId.getKey(), Long.toHexString(startId.getValue()));
        }
        json.writeEndObject();
    }
}
