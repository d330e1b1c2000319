package myrtleladder.loadbalancer.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.util.HexFormat;
import myrtleladder.loadbalancer.policy.LoadBalancer;

/**
 * Writes the actions of all instances in reply to a batch as one line of JSON. Confined to the
 * adapter's thread.
 */
final class DecisionWriter {
    private static final JsonFactory JSON = new JsonFactory();

    /** Initial buffer size in bytes; large enough for most replies. */
    private static final int INITIAL_REPLY_BYTES = 1 << 14;

    /** Number of decimal places that express a duration in seconds to the microsecond. */
    private static final int MICROSECOND_SCALE = 6;

    private final ByteArrayOutputStream reply = new ByteArrayOutputStream(INITIAL_REPLY_BYTES);
    private JsonGenerator json;

    /** Begins the reply to a batch; actions may be written until {@link #end}. */
    void begin() throws IOException {
        reply.reset();
        json = JSON.createGenerator(reply);
        json.writeStartObject();
        json.writeArrayFieldStart("decisions");
    }

    /**
     * Ends the reply and returns it with its line feed. The returned buffer is valid until the next
     * {@link #begin}.
     */
    ByteArrayOutputStream end() throws IOException {
        json.writeEndArray();
        json.writeEndObject();
        json.close();
        reply.write('\n');
        return reply;
    }

    /** Returns a writer for the actions of one instance. */
    LoadBalancer.Actions forInstance(int instance) {
        return new InstanceWriter(instance);
    }

    /** Reports an exception thrown by an instance. */
    void writeBug(int instance, String text) {
        new InstanceWriter(instance).writeAction("bug", () -> json.writeStringField("msg", text));
    }

    /** Writes the fields of one kind of action. */
    private interface FieldsWriter {
        void write() throws IOException;
    }

    /** Writes the actions of one instance. */
    private final class InstanceWriter implements LoadBalancer.Actions {
        private final int instance;

        InstanceWriter(int instance) {
            this.instance = instance;
        }

        private void writeAction(String kind, FieldsWriter fields) {
            try {
                json.writeStartObject();
                json.writeStringField("kind", kind);
                json.writeNumberField("who", instance);
                fields.write();
                json.writeEndObject();
            } catch (IOException e) {
                throw new UncheckedIOException(e); // unreachable: the reply is in memory
            }
        }

        private void writeSeconds(String field, long durationUs) throws IOException {
            json.writeFieldName(field);
            json.writeNumber(BigDecimal.valueOf(durationUs, MICROSECOND_SCALE).toPlainString());
        }

        @Override
        public void send(String request, String upstream, long timeoutUs) {
            writeAction(
                    "relay",
                    () -> {
                        json.writeStringField("corr", request);
                        json.writeStringField("upstream", upstream);
                        if (timeoutUs != 0) {
                            writeSeconds("allow-for-s", timeoutUs);
                        }
                    });
        }

        @Override
        public void reject(String request, long retryAfterUs) {
            writeAction(
                    "turn-away",
                    () -> {
                        json.writeStringField("corr", request);
                        if (retryAfterUs != 0) {
                            writeSeconds("come-back-s", retryAfterUs);
                        }
                    });
        }

        @Override
        public void fail(String request) {
            writeAction("surrender", () -> json.writeStringField("corr", request));
        }

        @Override
        public void cancelAttempt(String request, int attempt) {
            writeAction(
                    "cancel",
                    () -> {
                        json.writeStringField("corr", request);
                        json.writeNumberField("attempt", attempt);
                    });
        }

        @Override
        public void setTimer(String token, long delayUs) {
            writeAction(
                    "remind",
                    () -> {
                        json.writeStringField("ctx", token);
                        writeSeconds("sleep-for-s", delayUs);
                    });
        }

        @Override
        public void probe(String upstream) {
            writeAction("ask-load", () -> json.writeStringField("upstream", upstream));
        }

        @Override
        public void closeIdleConnections(String upstream) {
            writeAction("shut-idle", () -> json.writeStringField("upstream", upstream));
        }

        @Override
        public void setSubscribed(boolean subscribed) {
            writeAction("tail", () -> json.writeBooleanField("want", subscribed));
        }

        @Override
        public void fetchEndpointList() {
            writeAction("reload", () -> {});
        }

        @Override
        public void sendToPeer(int peer, byte[] body) {
            writeAction(
                    "share",
                    () -> {
                        if (peer < 0) {
                            json.writeStringField("target", "all");
                        } else {
                            json.writeNumberField("target", peer);
                        }
                        json.writeStringField("body", HexFormat.of().formatHex(body));
                    });
        }

        @Override
        public void log(String text) {
            writeAction("record", () -> json.writeStringField("msg", text));
        }
    }
}
