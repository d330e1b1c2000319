package myrtleladder.http;

/**
 * Limits on what one client of a server may send, and on how long it may take. What all clients
 * together may use is bounded by {@link ServerResources}.
 *
 * @param maxHeaderBytes largest request head; a larger one is answered with 431
 * @param maxBodyBytes largest request body; a larger one is answered with 413
 * @param receiveTimeoutMs longest time from the first to the last byte of a request
 * @param idleTimeoutMs longest time without a request, and with a response that the client does not
 *     read
 */
public record RequestLimits(
        long maxHeaderBytes, long maxBodyBytes, long receiveTimeoutMs, long idleTimeoutMs) {
    private static final long DEFAULT_MAX_HEADER_BYTES = 16 * 1_024;
    private static final long DEFAULT_MAX_BODY_BYTES = 8L * 1_024 * 1_024;
    private static final long DEFAULT_RECEIVE_TIMEOUT_MS = 30_000;
    private static final long DEFAULT_IDLE_TIMEOUT_MS = 120_000;

    /** The limits of servers for which none are configured. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(
                    DEFAULT_MAX_HEADER_BYTES,
                    DEFAULT_MAX_BODY_BYTES,
                    DEFAULT_RECEIVE_TIMEOUT_MS,
                    DEFAULT_IDLE_TIMEOUT_MS);

    /** Returns these limits with another largest body. */
    public RequestLimits withMaxBodyBytes(long bytes) {
        return new RequestLimits(maxHeaderBytes, bytes, receiveTimeoutMs, idleTimeoutMs);
    }

    /** Returns these limits with another receive timeout. */
    public RequestLimits withReceiveTimeoutMs(long timeoutMs) {
        return new RequestLimits(maxHeaderBytes, maxBodyBytes, timeoutMs, idleTimeoutMs);
    }
}
