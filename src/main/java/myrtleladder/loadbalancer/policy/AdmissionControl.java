package myrtleladder.loadbalancer.policy;

/**
 * Decides whether a request sent now is likely to be answered within its latency target. If the load
 * of all balancers is known, the estimate is the load times the delay per request of the upstream's
 * queue. Otherwise the in-flight limit of {@link ConcurrencyLimiter} decides.
 */
final class AdmissionControl {
    /**
     * Fraction of the time left until the latency target that the queue may use, where loads are
     * probed.
     */
    private static final double PROBED_SHARE = 0.6;

    /** The same fraction where peers report their loads. */
    static final double REPORTED_SHARE = 0.8;

    /**
     * Load below which an upstream always has capacity: one request less the rounding of peer
     * messages.
     */
    private static final double IDLE_LOAD = 1 - 1 / PeerLoadExchange.UNITS_PER_REQUEST;

    private final LoadVisibility visibility;
    private final double timeShare;
    private final LoadEstimator loads;
    private final ConcurrencyLimiter limiter;
    private final RequestStatistics statistics;

    AdmissionControl(
            LoadVisibility visibility,
            LoadEstimator loads,
            ConcurrencyLimiter limiter,
            RequestStatistics statistics) {
        this.visibility = visibility;
        this.timeShare = visibility.byProbes() ? PROBED_SHARE : REPORTED_SHARE;
        this.loads = loads;
        this.limiter = limiter;
        this.statistics = statistics;
    }

    /** Whether the upstream is likely to answer a request sent now within its latency target. */
    boolean hasRoom(UpstreamState upstream, RequestState request, long nowUs) {
        if (!visibility.isComplete()) {
            return limiter.hasRoom(upstream, loads.loadOfOthers(upstream, nowUs), nowUs);
        }
        double load = loads.ownLoad(upstream) + loads.loadOfOthers(upstream, nowUs);
        return load < IDLE_LOAD
                || (load + loads.sizeOf(request)) * upstream.paceUs
                        <= timeShare * (request.targetAtUs - nowUs);
    }

    /** Whether a request would miss its latency target even if it were sent now. */
    boolean isTooLate(RequestState request, long nowUs) {
        return nowUs + leastAnswerTimeUs(request) > request.targetAtUs;
    }

    private double leastAnswerTimeUs(RequestState request) {
        if (visibility.isComplete()) {
            return loads.sizeOf(request) * statistics.paceUs();
        }
        return Math.max(
                ConcurrencyLimiter.ownServiceTimeUs(request, statistics.minServiceTime()),
                statistics.classAnswerTimeUs(request.request.classIndex()));
    }
}
