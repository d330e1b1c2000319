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

/**
 * Encodes datagrams as JSON objects and decodes them. Decoding is strict: unknown fields, values of
 * another type or out of range and trailing bytes make a datagram malformed.
 */
final class GossipCodec {
    private static final JsonFactory JSON = new JsonFactory();

    /** Characters of one string, so that several updates fit into one datagram. */
    private static final int MAX_STRING_LENGTH = 64;

    /** Elements of one array of digests or updates. */
    private static final int MAX_ARRAY_LENGTH = 64;

    private static final int HEX_RADIX = 16;

    /** Leaves a member room to refute with a higher incarnation. */
    private static final long MAX_INCARNATION = 1L << 52;

    /** Initial size of the buffer for one datagram. */
    private static final int DATAGRAM_BUFFER_BYTES = 512;

    /** Initial size of the buffer for one update. */
    private static final int UPDATE_BUFFER_BYTES = 256;

    private static final String MALFORMED = "malformed";

    private GossipCodec() {}

    static byte[] encode(GossipDatagram datagram) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(DATAGRAM_BUFFER_BYTES);
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeNumberField("v", GossipDatagram.VERSION);
            json.writeStringField("fleet", datagram.fleet());
            json.writeStringField("kind", datagram.kind().wireName());
            json.writeNumberField("no", datagram.sequenceNumber());
            json.writeStringField("digest", Long.toHexString(datagram.tableDigest()));
            json.writeFieldName("me");
            writeUpdate(json, datagram.sender());
            if (datagram.probeTarget() != null) {
                json.writeStringField("target", datagram.probeTarget());
            }
            if (!datagram.bucketDigests().isEmpty()) {
                json.writeArrayFieldStart("parts");
                for (long digest : datagram.bucketDigests()) {
                    json.writeString(Long.toHexString(digest));
                }
                json.writeEndArray();
            }
            if (datagram.requestedBuckets() != 0) {
                json.writeStringField("wanted", Long.toHexString(datagram.requestedBuckets()));
            }
            if (!datagram.updates().isEmpty()) {
                json.writeArrayFieldStart("news");
                for (MemberUpdate update : datagram.updates()) {
                    writeUpdate(json, update);
                }
                json.writeEndArray();
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // can't happen: it writes to memory
        }
        return out.toByteArray();
    }

    /** How many bytes an update takes in a datagram, with the comma before it. */
    static int encodedSize(MemberUpdate update) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(UPDATE_BUFFER_BYTES);
        try (JsonGenerator json = JSON.createGenerator(out)) {
            writeUpdate(json, update);
        } catch (IOException e) {
            throw new UncheckedIOException(e); // can't happen: it writes to memory
        }
        return out.size() + 1;
    }

    private static void writeUpdate(JsonGenerator json, MemberUpdate update) throws IOException {
        MemberMetadata metadata = update.metadata();
        json.writeStartObject();
        json.writeStringField("n", update.name());
        json.writeStringField("l", Long.toHexString(update.startId()));
        json.writeNumberField("i", update.incarnation());
        json.writeStringField("s", update.state().name());
        if (update.hasNameConflict()) {
            json.writeBooleanField("rival", true);
        }
        json.writeStringField("a", update.address());
        json.writeStringField("by", update.reportedBy());
        json.writeStringField("z", metadata.zone());
        json.writeStringField("b", metadata.build());
        json.writeNumberField("t", metadata.startedMs());
        if (!metadata.capabilities().isEmpty()) {
            json.writeArrayFieldStart("can");
            for (String capability : metadata.capabilities()) {
                json.writeString(capability);
            }
            json.writeEndArray();
        }
        json.writeEndObject();
    }

    /**
     * Decodes a datagram.
     *
     * @param fleet name of this process's fleet
     * @throws RejectedDatagramException if it is malformed, of another version or of another fleet
     */
    static GossipDatagram decode(byte[] datagram, String fleet) throws RejectedDatagramException {
        try (JsonParser json = JSON.createParser(datagram)) {
            return readDatagram(json, fleet);
        } catch (IOException | IllegalArgumentException e) {
            throw new RejectedDatagramException(MALFORMED);
        }
    }

    private static GossipDatagram readDatagram(JsonParser json, String expectedFleet)
            throws IOException, RejectedDatagramException {
        String fleet = null;
        GossipDatagram.Kind kind = null;
        MemberUpdate sender = null;
        long sequenceNumber = 0;
        long tableDigest = 0;
        String probeTarget = null;
        List<Long> bucketDigests = List.of();
        long requestedBuckets = 0;
        List<MemberUpdate> updates = List.of();
        int version = 0;
        require(json.nextToken() == JsonToken.START_OBJECT);
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String field = json.currentName();
            json.nextToken();
            switch (field) {
                case "v" -> version = json.getIntValue();
                case "fleet" -> fleet = readString(json);
                case "kind" -> kind = GossipDatagram.Kind.ofWireName(readString(json));
                case "me" -> sender = readUpdate(json);
                case "no" -> sequenceNumber = json.getLongValue();
                case "digest" -> tableDigest = readHex(json);
                case "target" -> probeTarget = readString(json);
                case "parts" -> bucketDigests = readDigests(json);
                case "wanted" -> requestedBuckets = readHex(json);
                case "news" -> updates = readUpdates(json);
                default -> throw new RejectedDatagramException(MALFORMED);
            }
            if (version > GossipDatagram.VERSION || version < 0) {
                // Checked at once, since another version may write the following fields otherwise.
                throw new RejectedDatagramException("version");
            }
        }
        require(json.nextToken() == null);
        require(version == GossipDatagram.VERSION && kind != null && sender != null);
        require(sender.state() == MemberState.ALIVE || sender.state() == MemberState.LEFT);
        if (!expectedFleet.equals(fleet)) {
            throw new RejectedDatagramException("foreign");
        }
        return new GossipDatagram(
                fleet,
                kind,
                sender,
                sequenceNumber,
                tableDigest,
                probeTarget,
                bucketDigests,
                requestedBuckets,
                updates);
    }

    private static void require(boolean isWellFormed) throws RejectedDatagramException {
        if (!isWellFormed) {
            throw new RejectedDatagramException(MALFORMED);
        }
    }

    private static String readString(JsonParser json)
            throws IOException, RejectedDatagramException {
        require(json.currentToken() == JsonToken.VALUE_STRING);
        require(json.getTextLength() <= MAX_STRING_LENGTH);
        return json.getText();
    }

    private static long readHex(JsonParser json) throws IOException, RejectedDatagramException {
        return Long.parseUnsignedLong(readString(json), HEX_RADIX);
    }

    private static List<Long> readDigests(JsonParser json)
            throws IOException, RejectedDatagramException {
        require(json.currentToken() == JsonToken.START_ARRAY);
        List<Long> digests = new ArrayList<>();
        while (json.nextToken() != JsonToken.END_ARRAY) {
            digests.add(readHex(json));
            require(digests.size() <= MAX_ARRAY_LENGTH);
        }
        return digests;
    }

    private static List<MemberUpdate> readUpdates(JsonParser json)
            throws IOException, RejectedDatagramException {
        require(json.currentToken() == JsonToken.START_ARRAY);
        List<MemberUpdate> updates = new ArrayList<>();
        while (json.nextToken() != JsonToken.END_ARRAY) {
            updates.add(readUpdate(json));
            require(updates.size() <= MAX_ARRAY_LENGTH);
        }
        return updates;
    }

    private static MemberUpdate readUpdate(JsonParser json)
            throws IOException, RejectedDatagramException {
        require(json.currentToken() == JsonToken.START_OBJECT);
        String name = "";
        long startId = 0;
        long incarnation = 0;
        MemberState state = null;
        boolean hasNameConflict = false;
        String address = "";
        String reportedBy = "";
        String zone = "";
        String build = "";
        long startedMs = 0;
        List<String> capabilities = List.of();
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String field = json.currentName();
            json.nextToken();
            switch (field) {
                case "n" -> name = readString(json);
                case "l" -> startId = readHex(json);
                case "i" -> incarnation = json.getLongValue();
                case "s" -> state = MemberState.valueOf(readString(json));
                case "rival" -> hasNameConflict = json.getBooleanValue();
                case "a" -> address = readString(json);
                case "by" -> reportedBy = readString(json);
                case "z" -> zone = readString(json);
                case "b" -> build = readString(json);
                case "t" -> startedMs = json.getLongValue();
                case "can" -> capabilities = readCapabilities(json, capabilities);
                default -> throw new RejectedDatagramException(MALFORMED);
            }
        }
        require(!name.isEmpty() && state != null && !address.isEmpty());
        require(incarnation >= 0 && incarnation <= MAX_INCARNATION);
        return new MemberUpdate(
                name,
                startId,
                incarnation,
                state,
                hasNameConflict,
                address,
                reportedBy,
                new MemberMetadata(zone, build, startedMs, capabilities));
    }

    /** Reads an array of capabilities; a repeated field adds to those read before. */
    private static List<String> readCapabilities(JsonParser json, List<String> before)
            throws IOException, RejectedDatagramException {
        require(json.currentToken() == JsonToken.START_ARRAY);
        List<String> capabilities = new ArrayList<>(before);
        while (json.nextToken() != JsonToken.END_ARRAY) {
            capabilities.add(readString(json));
            require(capabilities.size() <= MemberMetadata.MAX_CAPABILITIES);
        }
        return capabilities;
    }
}
