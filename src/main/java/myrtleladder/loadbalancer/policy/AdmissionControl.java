package myrtleladder.loadbalancer.policy;

/**
 * Whether a request sent now is likely answered within its latency target. Where all in flight is
 * known, that is the load before it times the pace of this upstream's queue; else the in-flight
 * limit of {@link ConcurrencyLimiter}.
 */
final class AdmissionControl {
    /** Part of the time left that a queue may take, where loads are probed. */
    private static final double PROBED_SHARE = 0.6;

    /** Part of the time left that a queue may take, where peers report their loads. */
    static final double REPORTED_SHARE = 0.8;

    /** Load below which there is always room; a full request less what messages round. */
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

    boolean hasRoom(UpstreamState upstream, RequestState request, long nowUs) {
        if (!visibility.isComplete()) {
            return limiter.hasRoom(upstream, loads.loadOfOthers(upstream, nowUs), nowUs);
        }
        double load = loads.ownLoad(upstream) + loads.loadOfOthers(upstream, nowUs);
        return load < IDLE_LOAD
                || (load + loads.sizeOf(request)) * upstream.paceUs
                        <= timeShare * (request.targetAtUs - nowUs);
    }

    /** Whether a request's latency target is missed even if it is sent now. */
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
