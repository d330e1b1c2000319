package myrtleladder.loadbalancer.policy;

/**
 * A class of requests.
 *
 * @param latencyTargetUs time from arrival within which an answer has its full value
 * @param latencyTargetStretch lengthens the latency target by that multiple of the request's own
 *     work
 * @param timeoutUs time from arrival after which clients give up
 * @param priorityWeight value of an answer in time
 * @param lateFactor part of that value that a late answer has; 0 for none
 * @param effect whether a request may run more than once
 * @param scope which upstreams discard the repeat of a keyed request
 * @param memorySpanUs for how long they do
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
