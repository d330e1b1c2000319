package myrtleladder.loadbalancer.policy;

/**
 * Limits on a balancer, and which actions it may take.
 *
 * @param maxAttempts maximum attempts of a request, including the first
 * @param hedging whether a request may have more than one outstanding attempt
 * @param probing whether upstreams may be probed
 * @param cancellation whether outstanding attempts may be cancelled
 * @param peerMessages whether balancers may send messages to each other
 * @param maxOpenRequests maximum number of open requests; the decision module does not enforce it
 * @param retryAfter whether rejections may carry a retry-after time
 * @param maxRetryAfterUs maximum retry-after time, microseconds
 * @param connectTimeoutUs time within which a connection must be established, microseconds
 * @param idleConnectionTimeoutUs time after which idle connections are closed, microseconds
 * @param streamsPerConnection requests that may share a connection at once
 */
public record Limits(
        int maxAttempts,
        boolean hedging,
        boolean probing,
        boolean cancellation,
        boolean peerMessages,
        int maxOpenRequests,
        boolean retryAfter,
        long maxRetryAfterUs,
        long connectTimeoutUs,
        long idleConnectionTimeoutUs,
        int streamsPerConnection) {}
