package myrtleladder.loadbalancer.server;

import io.netty.buffer.ByteBuf;

/**
 * Receives the one final response of a request. Exactly one of {@link #onSuccess}, {@link
 * #onRejected} and {@link #onFailure} is called, on the event loop, unless the client disconnects
 * first.
 */
interface ResponseObserver {
    /** Called with the upstream's response; the observer takes ownership of {@code body}. */
    void onSuccess(ByteBuf body);

    /**
     * Called if the request was rejected and not processed by an upstream.
     *
     * @param retryAfterUs time after which the client may retry, in microseconds; 0 if unspecified
     */
    void onRejected(long retryAfterUs);

    /** Called if the request failed; an upstream may have processed it. */
    void onFailure();

    /** Whether the client is connected; the disconnect event may be delivered later. */
    boolean isConnected();
}
