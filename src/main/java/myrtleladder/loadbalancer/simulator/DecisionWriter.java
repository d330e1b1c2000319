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
 * Writes the actions of all instances as one line of decisions for each batch. Confined to the
 * adapter's thread.
 */
final class DecisionWriter {
    private static final JsonFactory JSON = new JsonFactory();

    /** Room for most replies, in bytes. */
    private static final int INITIAL_REPLY_BYTES = 1 << 14;

    /** Decimal places of a microsecond in a number of seconds. */
    private static final int MICROSECOND_SCALE = 6;

    private final ByteArrayOutputStream reply = new ByteArrayOutputStream(INITIAL_REPLY_BYTES);
    private JsonGenerator json;

    /** Begins the reply to a batch; actions may be written from here on. */
    void begin() throws IOException {
        reply.reset();
        json = JSON.createGenerator(reply);
        json.writeStartObject();
        json.writeArrayFieldStart("decisions");
    }

    /** Ends the reply. Returns it with its line feed, valid until the next {@link #begin}. */
    ByteArrayOutputStream end() throws IOException {
        json.writeEndArray();
        json.writeEndObject();
        json.close();
        reply.write('\n');
        return reply;
    }

    /** The actions of one instance. */
    LoadBalancer.Actions forInstance(int instance) {
        return new InstanceWriter(instance);
    }

    /** Writes that an instance has thrown an exception. */
    void bug(int instance, String text) {
        new InstanceWriter(instance).action("bug", () -> json.writeStringField("msg", text));
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

        private void action(String kind, FieldsWriter fields) {
            try {
                json.writeStartObject();
                json.writeStringField("kind", kind);
                json.writeNumberField("who", instance);
                fields.write();
                json.writeEndObject();
            } catch (IOException e) {
                throw new UncheckedIOException(e); // never: the reply is in memory
            }
        }

        private void seconds(String field, long durationUs) throws IOException {
            json.writeFieldName(field);
            json.writeNumber(BigDecimal.valueOf(durationUs, MICROSECOND_SCALE).toPlainString());
        }

        @Override
        public void send(String request, String upstream, long timeout) {
            action(
                    "relay",
                    () -> {
                        json.writeStringField("corr", request);
                        json.writeStringField("upstream", upstream);
                        if (timeout != 0) {
                            seconds("allow-for-s", timeout);
                        }
                    });
        }

        @Override
        public void reject(String request, long retryAfter) {
            action(
                    "turn-away",
                    () -> {
                        json.writeStringField("corr", request);
                        if (retryAfter != 0) {
                            seconds("come-back-s", retryAfter);
                        }
                    });
        }

        @Override
        public void fail(String request) {
            action("surrender", () -> json.writeStringField("corr", request));
        }

        @Override
        public void cancelAttempt(String request, int attempt) {
            action(
                    "cancel",
                    () -> {
                        json.writeStringField("corr", request);
                        json.writeNumberField("attempt", attempt);
                    });
        }

        @Override
        public void setTimer(String token, long delay) {
            action(
                    "remind",
                    () -> {
                        json.writeStringField("ctx", token);
                        seconds("sleep-for-s", delay);
                    });
        }

        @Override
        public void probe(String upstream) {
            action("ask-load", () -> json.writeStringField("upstream", upstream));
        }

        @Override
        public void closeIdleConnections(String upstream) {
            action("shut-idle", () -> json.writeStringField("upstream", upstream));
        }

        @Override
        public void setSubscribed(boolean on) {
            action("tail", () -> json.writeBooleanField("want", on));
        }

        @Override
        public void fetchEndpointList() {
            action("reload", () -> {});
        }

        @Override
        public void sendToPeer(int peer, byte[] body) {
            action(
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
            action("record", () -> json.writeStringField("msg", text));
        }
    }
}
