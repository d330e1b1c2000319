package myrtleladder.loadbalancer.policy;

/**
 * The queueing delay that the in-flight limits aim at.
 *
 * @param latencyTargetFraction the queueing delay as a fraction of a class's latency target
 * @param tightestUs that fraction of the tightest latency target of all classes, rounded down,
 *     microseconds
 */
record QueueingDelayTarget(double latencyTargetFraction, long tightestUs) {
    /** Queueing delay as a fraction of the latency target, in large groups. */
    private static final double LARGE_GROUP_FRACTION = 0.18;

    /** Added in small groups, where most of an upstream's queue is this balancer's own. */
    private static final double SMALL_GROUP_EXTRA_FRACTION = 0.12;

    /**
     * Maximum number of balancers in a small group. In larger ones the addition shrinks in inverse
     * proportion.
     */
    private static final double MAX_SMALL_GROUP_SIZE = 4;

    static QueueingDelayTarget of(Settings settings) {
        double share =
                LARGE_GROUP_FRACTION
                        + SMALL_GROUP_EXTRA_FRACTION
                                * Math.min(1, MAX_SMALL_GROUP_SIZE / settings.groupSize());
        return new QueueingDelayTarget(share, (long) (share * tightestLatencyTargetUs(settings)));
    }

    static long tightestLatencyTargetUs(Settings settings) {
        return settings.classes().stream()
                .mapToLong(RequestClass::latencyTargetUs)
                .min()
                .orElseThrow();
    }
}
