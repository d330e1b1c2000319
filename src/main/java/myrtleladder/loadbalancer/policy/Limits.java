package myrtleladder.loadbalancer.policy;

/** What the balancer may do. */
public record Limits(
        int maxAttempts,
        boolean secondCopies,
        boolean probes,
        boolean cancel,
        boolean peers,
        int maxOpen,
        boolean retryAfter,
        long maxRetryAfter,
        long connectTimeout,
        long connectIdle,
        int streamsPerConnection) {}
