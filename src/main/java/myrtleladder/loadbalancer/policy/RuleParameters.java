package myrtleladder.loadbalancer.policy;

/**
 * Parameters of the rules that a balancer has to follow. Times are in microseconds.
 *
 * @param answerSlackUs time after a request's deadline until which its final answer is in time
 * @param askWithinUs the setting {@code ask-within-s}; no decision depends on it
 * @param initialCapacityFraction fraction of its full capacity that an upstream has at its launch
 * @param slowStartDurationUs time from its launch until an upstream has its full capacity
 * @param drainGraceUs time after an upstream begins to drain or leaves the list in which requests
 *     may still be sent to it
 * @param overloadMultiple multiple of its current capacity up to which an upstream in slow start
 *     may be loaded
 * @param overloadWindowUs time window over which that load is measured
 */
public record RuleParameters(
        long answerSlackUs,
        long askWithinUs,
        double initialCapacityFraction,
        long slowStartDurationUs,
        long drainGraceUs,
        double overloadMultiple,
        long overloadWindowUs) {}
