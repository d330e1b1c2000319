package myrtleladder.loadbalancer.policy;

import java.util.List;

/**
 * The complete interface of the decision module: events come in as method calls, decisions go out
 * through {@link Actions}. {@link UtilisationLoadBalancer} is the implementation.
 *
 * <p>All times are microseconds of one clock that never goes back; {@code nowUs} is passed in with
 * each event. Durations are microseconds too. An instance is not safe for use by several threads at
 * once: call it from one thread, or guard it by one lock. It never blocks, and it calls {@link
 * Actions} only while it handles an event.
 */
public interface LoadBalancer {

    /** Starts the instance: sets its first timer. Call it once, before any other event. */
    void start(long nowUs);

    /** Service discovery has delivered upstreams, or failed to; see {@link EndpointListKind}. */
    void onEndpointList(long nowUs, EndpointListKind kind, List<Upstream> entries);

    /** A client's request has arrived. The balancer has to give it one final answer. */
    void onRequest(long nowUs, Request request);

    /** An attempt has ended. */
    void onAttemptEnd(long nowUs, AttemptEnd end);

    /**
     * A streamed answer has begun. The request's attempts are neither cancelled nor retried from
     * now on.
     */
    void onStreamOpened(long nowUs, String requestId, int attemptIndex);

    /** The client has disconnected: the request no longer needs a final answer. */
    void onClientDisconnected(long nowUs, String requestId);

    /** A probe has ended; {@code load} is null if there was no load report. */
    void onProbeResult(long nowUs, String upstreamId, Outcome outcome, LoadReport load);

    /** A timer that was set through {@link Actions#setTimer} has expired. */
    void onTimer(long nowUs, String token);

    /** A message from another balancer of the group, by its position in the group. */
    void onPeerMessage(long nowUs, int from, byte[] body);

    /** Executes the decisions. Each call takes effect at the time of the event being handled. */
    interface Actions {
        /** Starts an attempt. With a timeout of 0 it runs until the client gives up. */
        void send(String requestId, String upstreamId, long timeoutUs);

        /**
         * Gives the final answer that the request was rejected and that a retry does no harm. A
         * {@code retryAfterUs} of 0 gives no retry-after time.
         */
        void reject(String requestId, long retryAfterUs);

        /** Gives the final answer that the request has failed; it may have run. */
        void fail(String requestId);

        /** Cancels an outstanding attempt. */
        void cancelAttempt(String requestId, int attemptIndex);

        /** Asks for a call of {@link LoadBalancer#onTimer} after a delay. */
        void setTimer(String token, long delayUs);

        /** Asks an upstream for its load. */
        void probe(String upstreamId);

        /** Closes idle connections to an upstream. */
        void closeIdleConnections(String upstreamId);

        /** Subscribes to changes of the endpoint list, or cancels the subscription. */
        void setSubscribed(boolean isSubscribed);

        /** Asks for the complete endpoint list once. */
        void fetchEndpointList();

        /** Sends a message to one peer, or to all peers if {@code peer} is negative. */
        void sendToPeer(int peer, byte[] body);

        /** Writes a line to the log for operators. */
        void log(String text);
    }
}
