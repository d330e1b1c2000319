package myrtleladder.loadbalancer.policy;

/**
 * Decides whether a request sent now is likely to be answered within its latency target. If the
 * load of all balancers is known, the estimate is the load times the delay per request of the
 * upstream's queue. Otherwise the in-flight limit of {@link ConcurrencyLimiter} decides.
 */
final class AdmissionControl {
    /**
     * Fraction of the time left until the latency target that the queue may use, where loads are
     * probed.
     */
    private static final double PROBED_TIME_FRACTION = 0.6;

    /** The same fraction where peers report their loads. */
    static final double REPORTED_TIME_FRACTION = 0.8;

    /**
     * Load below which an upstream always has capacity: one request less the rounding of peer
     * messages.
     */
    private static final double IDLE_LOAD = 1 - 1 / PeerLoadExchange.UNITS_PER_REQUEST;

    private final LoadVisibility visibility;
    private final double timeFraction;
    private final LoadEstimator loads;
    private final ConcurrencyLimiter limiter;
    private final RequestStatistics statistics;

    AdmissionControl(
            LoadVisibility visibility,
            LoadEstimator loads,
            ConcurrencyLimiter limiter,
            RequestStatistics statistics) {
        this.visibility = visibility;
        this.timeFraction = visibility.byProbes() ? PROBED_TIME_FRACTION : REPORTED_TIME_FRACTION;
        this.loads = loads;
        this.limiter = limiter;
        this.statistics = statistics;
    }

    /** Whether the upstream is likely to answer a request sent now within its latency target. */
    boolean hasCapacity(UpstreamState upstream, RequestState request, long nowUs) {
        if (!visibility.isComplete()) {
            return limiter.hasCapacity(upstream, loads.otherBalancersLoad(upstream, nowUs), nowUs);
        }
        double load = loads.ownLoad(upstream) + loads.otherBalancersLoad(upstream, nowUs);
        return load < IDLE_LOAD
                || (load + loads.relativeCost(request)) * upstream.delayPerRequestUs
                        <= timeFraction * (request.latencyTargetAtUs - nowUs);
    }

    /** Whether a request would miss its latency target even if it were sent now. */
    boolean isTooLate(RequestState request, long nowUs) {
        return nowUs + minAnswerTimeUs(request) > request.latencyTargetAtUs;
    }

    private double minAnswerTimeUs(RequestState request) {
        if (visibility.isComplete()) {
            return loads.relativeCost(request) * statistics.delayPerRequestUs();
        }
        return Math.max(
                ConcurrencyLimiter.ownServiceTimeUs(request, statistics.minServiceTime()),
                statistics.classAnswerTimeUs(request.request.classIndex()));
    }
}
