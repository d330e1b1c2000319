package myrtleladder.loadbalancer.policy;

/**
 * How much of a latency target may go into waiting at an upstream.
 *
 * @param share of a class's latency target
 * @param tightestUs that share of the tightest class's latency target, rounded down
 */
record QueueingDelayTarget(double share, long tightestUs) {
    /** Waiting aimed at under our own in-flight limit, as a share of the latency target. */
    private static final double SHARE = 0.18;

    /** Added in small groups; there the queue at an upstream is mostly our own. */
    private static final double SMALL_GROUP_SHARE = 0.12;

    /** Balancers up to which a group is small; above, the addition shrinks. */
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
