package myrtleladder.loadbalancer.policy;

/**
 * Updates health, delay per request, in-flight limit and statistics at the end of each attempt.
 */
final class OutcomeRecorder {
    /** An upstream that rejects a request at a smaller load than this is draining, not full. */
    private static final double SHORT_QUEUE = 3;

    private final boolean isReportedByPeers;
    private final RequestStatistics statistics;
    private final OutlierEjection ejection;
    private final ConcurrencyLimiter limiter;
    private final OnDemandProber prober;

    OutcomeRecorder(
            LoadVisibility visibility,
            RequestStatistics statistics,
            OutlierEjection ejection,
            ConcurrencyLimiter limiter,
            OnDemandProber prober) {
        this.isReportedByPeers = visibility.byPeers();
        this.statistics = statistics;
        this.ejection = ejection;
        this.limiter = limiter;
        this.prober = prober;
    }

    /** Records the end of an attempt that is no longer counted as in flight. */
    void record(RequestState request, Attempt attempt, AttemptEnd end, long nowUs) {
        UpstreamState upstream = attempt.upstream;
        switch (end.outcome()) {
            case OK -> recordAnswer(request, attempt, end.tookUs(), nowUs);
            case TIMEOUT, CANCELLED -> recordNoAnswer(request, attempt, end.tookUs(), nowUs);
            case CONNECT_FAILED -> recordConnectFailure(attempt, nowUs);
            case FULL -> recordRejection(request, attempt, nowUs);
            case ERROR, RESET -> {
                upstream.lastProgressAtUs = nowUs;
                ejection.recordError(upstream, nowUs);
            }
            case MOOT -> {
                // Never sent, so no evidence about the upstream.
            }
            default -> throw new AssertionError(end.outcome());
        }
        limiter.pauseAfter(upstream, end.tookUs(), nowUs);
    }

    private void recordAnswer(RequestState request, Attempt attempt, long tookUs, long nowUs) {
        UpstreamState upstream = attempt.upstream;
        upstream.lastProgressAtUs = nowUs;
        upstream.lastAnswerAtUs = nowUs;
        ejection.recordSuccess(upstream);
        upstream.completedWork += request.cost;
        upstream.answerTimeUs =
                RequestStatistics.smooth(
                        upstream.answerTimeUs, tookUs, RequestStatistics.UPSTREAM_SMOOTHING);
        double sampledPaceUs = paceUs(attempt, tookUs);
        upstream.paceUs = smoothPace(upstream, sampledPaceUs);
        limiter.recordAnswer(upstream, request, attempt, tookUs, nowUs);
        statistics.recordAnswer(request.request.classIndex(), tookUs, sampledPaceUs);
    }

    private void recordNoAnswer(RequestState request, Attempt attempt, long tookUs, long nowUs) {
        UpstreamState upstream = attempt.upstream;
        upstream.paceUs = Math.max(upstream.paceUs, smoothPace(upstream, paceUs(attempt, tookUs)));
        limiter.recordNoAnswer(upstream, request, attempt, tookUs, nowUs);
    }

    /**
     * If the upstream has answered since the send, its connection table was full. Otherwise it is
     * down and is ejected.
     */
    private void recordConnectFailure(Attempt attempt, long nowUs) {
        if (attempt.upstream.lastAnswerAtUs < attempt.sentAtUs) {
            ejection.eject(attempt.upstream, nowUs);
        }
    }

    /**
     * An upstream that rejects at almost no load is draining, although the endpoint list does not say
     * so yet. Any other is full: its load is assumed to be what just misses the latency target.
     */
    private void recordRejection(RequestState request, Attempt attempt, long nowUs) {
        UpstreamState upstream = attempt.upstream;
        limiter.recordRejection(upstream);
        boolean isLoadKnown = isReportedByPeers || prober.hasFreshLoad(upstream, nowUs);
        if (isLoadKnown && attempt.loadAtSend < SHORT_QUEUE) {
            ejection.eject(upstream, nowUs);
        } else {
            double fullLoad = request.requestClass.latencyTargetUs() / Math.max(upstream.paceUs, 1);
            upstream.othersInFlight = Math.max(upstream.othersInFlight, fullLoad);
            upstream.othersSeenAtUs = nowUs;
        }
    }

    private static double paceUs(Attempt attempt, long tookUs) {
        return tookUs / Math.max(1, attempt.loadAtSend);
    }

    private static double smoothPace(UpstreamState upstream, double sampledPaceUs) {
        return RequestStatistics.smooth(
                upstream.paceUs, sampledPaceUs, RequestStatistics.UPSTREAM_SMOOTHING);
    }
}
