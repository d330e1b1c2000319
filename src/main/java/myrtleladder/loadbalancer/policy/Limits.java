package myrtleladder.loadbalancer.policy;

/**
 * What the balancer may do.
 *
 * @param maxAttempts attempts of a request, the first included
 * @param hedging whether a request may have more than one outstanding attempt
 * @param probes whether upstreams may be probed
 * @param cancel whether outstanding attempts may be cancelled
 * @param peers whether balancers may send messages to each other
 * @param maxOpen requests that may be open at once
 * @param retryAfter whether rejections may say when to come back
 * @param maxRetryAfterUs longest such advice
 * @param connectTimeoutUs time within which a connection must be established
 * @param connectIdleUs time after which idle connections are closed
 * @param streamsPerConnection requests that share a connection
 */
public record Limits(
        int maxAttempts,
        boolean hedging,
        boolean probes,
        boolean cancel,
        boolean peers,
        int maxOpen,
        boolean retryAfter,
        long maxRetryAfterUs,
        long connectTimeoutUs,
        long connectIdleUs,
        int streamsPerConnection) {}
