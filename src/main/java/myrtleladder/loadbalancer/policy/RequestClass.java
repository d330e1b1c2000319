package myrtleladder.loadbalancer.policy;

/**
 * A class of requests.
 *
 * @param latencyTargetUs time from arrival within which an answer has its full value, microseconds
 * @param latencyTargetUsPerWork added to the latency target for each unit of the request's expected
 *     work, microseconds
 * @param timeoutUs time from arrival after which clients give up, microseconds
 * @param priorityWeight value of an answer within the latency target
 * @param lateValueFactor fraction of that value that a late answer has; 0 for none
 * @param idempotency idempotency of the requests
 * @param deduplicationScope which upstreams discard the repeat of a request with an idempotency key
 * @param keyRetentionUs how long upstreams remember an idempotency key, microseconds
 * @param isStream whether answers are streamed
 */
public record RequestClass(
        long latencyTargetUs,
        double latencyTargetUsPerWork,
        long timeoutUs,
        double priorityWeight,
        double lateValueFactor,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long keyRetentionUs,
        boolean isStream) {}
