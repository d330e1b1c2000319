package myrtleladder.loadbalancer.policy;

/**
 * The figures of the rules that a balancer is judged by.
 *
 * @param answerSlackUs time after the deadline within which the final answer must be given
 * @param askWithinUs the setting {@code ask-within-s}; no decision depends on it
 * @param startCapacity share of its capacity that an upstream starts with
 * @param slowStartUs time from its launch until an upstream has its full capacity
 * @param drainGraceUs time after an upstream leaves in which requests may still be sent to it
 * @param overloadMultiple multiple of its capacity that a cold upstream bears
 * @param overloadWindowUs time span over which that is measured
 */
public record RuleFigures(
        long answerSlackUs,
        long askWithinUs,
        double startCapacity,
        long slowStartUs,
        long drainGraceUs,
        double overloadMultiple,
        long overloadWindowUs) {}
