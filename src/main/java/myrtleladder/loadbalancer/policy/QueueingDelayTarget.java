package myrtleladder.loadbalancer.policy;

/**
 * The queueing delay that the in-flight limits aim at.
 *
 * @param share the queueing delay as a fraction of a class's latency target
 * @param tightestUs that fraction of the tightest latency target of all classes, rounded down,
 *     microseconds
 */
record QueueingDelayTarget(double share, long tightestUs) {
    /** Queueing delay as a fraction of the latency target, in large groups. */
    private static final double SHARE = 0.18;

    /** Added in small groups, where most of an upstream's queue is this balancer's own. */
    private static final double SMALL_GROUP_SHARE = 0.12;

    /**
     * Maximum number of balancers in a small group. In larger ones the addition shrinks in inverse
     * proportion.
     */
    private static final double SMALL_GROUP = 4;

    static QueueingDelayTarget of(Settings settings) {
        double share = SHARE + SMALL_GROUP_SHARE * Math.min(1, SMALL_GROUP / settings.groupSize());
        return new QueueingDelayTarget(share, (long) (share * tightestLatencyTargetUs(settings)));
    }

    static long tightestLatencyTargetUs(Settings settings) {
        return settings.classes().stream()
                .mapToLong(RequestClass::latencyTargetUs)
                .min()
                .orElseThrow();
    }
}
