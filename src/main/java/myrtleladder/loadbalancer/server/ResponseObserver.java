package myrtleladder.loadbalancer.server;

import io.netty.buffer.ByteBuf;

/**
 * Receives the one final response of a request. Exactly one of {@link #onSuccess}, {@link
 * #onRejected} and {@link #onFailure} is called, on the event loop, unless the client leaves first.
 */
interface ResponseObserver {
    /** The upstream's response; the observer takes over the reference to {@code body}. */
    void onSuccess(ByteBuf body);

    /**
     * Rejected: the request has not run.
     *
     * @param retryAfterUs when the client may try again, in microseconds; 0 for no advice
     */
    void onRejected(long retryAfterUs);

    /** Failed: the request may have run. */
    void onFailure();

    /** Whether the client's connection is up; the event that it has closed may come later. */
    boolean isConnected();
}
