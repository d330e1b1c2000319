package myrtleladder.loadbalancer.policy;

/** Updates health, delay per request, in-flight limit and statistics at the end of each attempt. */
final class OutcomeRecorder {
    /** An upstream that rejects a request at a smaller load than this is draining, not full. */
    private static final double SHORT_QUEUE_LOAD = 3;

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
            case OK -> recordAnswer(request, attempt, end.durationUs(), nowUs);
            case TIMEOUT, CANCELLED -> recordNoAnswer(request, attempt, end.durationUs(), nowUs);
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
        limiter.pauseAfter(upstream, end.durationUs(), nowUs);
    }

    private void recordAnswer(RequestState request, Attempt attempt, long durationUs, long nowUs) {
        UpstreamState upstream = attempt.upstream;
        upstream.lastProgressAtUs = nowUs;
        upstream.lastAnswerAtUs = nowUs;
        ejection.recordSuccess(upstream);
        upstream.completedWork += request.cost;
        upstream.answerTimeUs =
                RequestStatistics.smooth(
                        upstream.answerTimeUs, durationUs, RequestStatistics.UPSTREAM_SMOOTHING);
        double sampledDelayPerRequestUs = delayPerRequestUs(attempt, durationUs);
        upstream.delayPerRequestUs = smoothDelayPerRequestUs(upstream, sampledDelayPerRequestUs);
        limiter.recordAnswer(upstream, request, attempt, durationUs, nowUs);
        statistics.recordAnswer(request.request.classIndex(), durationUs, sampledDelayPerRequestUs);
    }

    private void recordNoAnswer(
            RequestState request, Attempt attempt, long durationUs, long nowUs) {
        UpstreamState upstream = attempt.upstream;
        upstream.delayPerRequestUs =
                Math.max(
                        upstream.delayPerRequestUs,
                        smoothDelayPerRequestUs(upstream, delayPerRequestUs(attempt, durationUs)));
        limiter.recordNoAnswer(upstream, request, attempt, durationUs, nowUs);
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
     * An upstream that rejects at almost no load is draining, although the endpoint list does not
     * say so yet. Any other is full: its load is assumed to be what just misses the latency target.
     */
    private void recordRejection(RequestState request, Attempt attempt, long nowUs) {
        UpstreamState upstream = attempt.upstream;
        limiter.recordRejection(upstream);
        boolean isLoadKnown = isReportedByPeers || prober.hasFreshLoad(upstream, nowUs);
        if (isLoadKnown && attempt.loadAtSend < SHORT_QUEUE_LOAD) {
            ejection.eject(upstream, nowUs);
        } else {
            double fullLoad =
                    request.requestClass.latencyTargetUs()
                            / Math.max(upstream.delayPerRequestUs, 1);
            upstream.otherBalancersInFlight = Math.max(upstream.otherBalancersInFlight, fullLoad);
            upstream.otherBalancersSeenAtUs = nowUs;
        }
    }

    private static double delayPerRequestUs(Attempt attempt, long durationUs) {
        return durationUs / Math.max(1, attempt.loadAtSend);
    }

    private static double smoothDelayPerRequestUs(
            UpstreamState upstream, double sampledDelayPerRequestUs) {
        return RequestStatistics.smooth(
                upstream.delayPerRequestUs,
                sampledDelayPerRequestUs,
                RequestStatistics.UPSTREAM_SMOOTHING);
    }
}
