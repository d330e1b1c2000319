package myrtleladder.configuration;

/**
 * Limits on the requests and connections of clients.
 *
 * @param maxHeaderBytes {@code max_header_bytes}: maximum size of a request head; default 16 KiB
 * @param maxBodyBytes {@code max_body_bytes}: maximum size of a request body; default 4 MiB
 * @param headerTimeoutMs {@code header_timeout_ms}: time in which a request must arrive, from its
 *     first byte to its last; default 3000
 * @param idleTimeoutMs {@code idle_timeout_ms}: how long a connection may be open without a
 *     request; default 15000
 */
public record ClientLimits(
        long maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
    private static final long DEFAULT_MAX_HEADER_BYTES = 16_384;
    private static final long DEFAULT_MAX_BODY_BYTES = 4L * 1_024 * 1_024;
    private static final long DEFAULT_HEADER_TIMEOUT_MS = 3_000;
    private static final long DEFAULT_IDLE_TIMEOUT_MS = 15_000;

    /** The limits of a configuration that names none, and of a process without configuration. */
    public static final ClientLimits DEFAULT =
            new ClientLimits(
                    DEFAULT_MAX_HEADER_BYTES,
                    DEFAULT_MAX_BODY_BYTES,
                    DEFAULT_HEADER_TIMEOUT_MS,
                    DEFAULT_IDLE_TIMEOUT_MS);

    /** Parses the optional {@code limits} object of a configuration. */
    static ClientLimits parse(JsonObject root) {
        if (!root.has("limits")) {
            return DEFAULT;
        }
        JsonObject json = root.getObject("limits");
        return new ClientLimits(
                json.getLong("max_header_bytes", DEFAULT_MAX_HEADER_BYTES),
                json.getLong("max_body_bytes", DEFAULT_MAX_BODY_BYTES),
                json.getLong("header_timeout_ms", DEFAULT_HEADER_TIMEOUT_MS),
                json.getLong("idle_timeout_ms", DEFAULT_IDLE_TIMEOUT_MS));
    }
}
