package myrtleladder.loadbalancer.policy;

/**
 * A class of requests.
 *
 * @param latencyTargetUs time from arrival within which an answer has its full value, microseconds
 * @param latencyTargetStretch added to the latency target for each unit of the request's expected
 *     work, microseconds
 * @param timeoutUs time from arrival after which clients give up, microseconds
 * @param priorityWeight value of an answer within the latency target
 * @param lateFactor fraction of that value that a late answer has; 0 for none
 * @param effect idempotency of the requests
 * @param scope which upstreams discard the repeat of a request with an idempotency key
 * @param memorySpanUs how long upstreams remember an idempotency key, microseconds
 * @param isStream whether answers are streamed
 */
public record RequestClass(
        long latencyTargetUs,
        double latencyTargetStretch,
        long timeoutUs,
        double priorityWeight,
        double lateFactor,
        Effect effect,
        Scope scope,
        long memorySpanUs,
        boolean isStream) {}
