package myrtleladder.configuration;

/** Bounds on what a client may send and on how long it may take or rest. */
public record ClientLimits(
        long maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
    private static final long HEADER_BYTES = 16_384;
    private static final long BODY_BYTES = 4L * 1_024 * 1_024;
    private static final long HEADER_TIMEOUT = 3_000;
    private static final long IDLE_TIMEOUT = 15_000;

    static ClientLimits read(Fields root) {
        if (!root.has("limits")) {
            return new ClientLimits(HEADER_BYTES, BODY_BYTES, HEADER_TIMEOUT, IDLE_TIMEOUT);
        }
        Fields fields = root.object("limits");
        return new ClientLimits(
                fields.number("max_header_bytes", HEADER_BYTES),
                fields.number("max_body_bytes", BODY_BYTES),
                fields.number("header_timeout_ms", HEADER_TIMEOUT),
                fields.number("idle_timeout_ms", IDLE_TIMEOUT));
    }
}
