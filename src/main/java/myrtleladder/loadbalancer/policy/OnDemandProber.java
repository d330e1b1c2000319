package myrtleladder.loadbalancer.policy;

/**
 * Probes the load of the upstreams of the subset before a pick. Used if load reports come by probe
 * only and probes are cheap enough. Upstreams that do not answer in time are considered hanging and
 * are excluded from the pick.
 */
final class OnDemandProber {
    /** Token of the timer that ends the wait for answers. */
    static final String TIMER = "ask";

    /** Size of the token bucket for probes, in requests. */
    private static final double MAX_SAVED_REQUESTS = 10;

    /** Assumed round-trip time of a probe before the first answer, microseconds. */
    private static final long INITIAL_ROUND_TRIP_US = 5_000;

    /** Round-trip times to wait for answers before a pick. */
    private static final int WAIT_ROUND_TRIPS = 2;

    /** Round-trip times for which a reported load is fresh. */
    private static final int FRESH_ROUND_TRIPS = 4;

    /** Maximum load accepted from an answer, in requests; more is clamped. */
    private static final int MAX_LOAD = 255;

    private final boolean isEnabled;
    private final double probesPerRequest;
    private final long tickUs;
    private final QueueingDelayTarget delayTarget;
    private final RendezvousSubsetting subsetting;
    private final AdmissionControl admission;
    private final LoadBalancer.Actions actions;
    private double tokens;
    private double roundTripUs = INITIAL_ROUND_TRIP_US;
    private long waitUntilUs;

    OnDemandProber(
            Settings settings,
            LoadVisibility visibility,
            QueueingDelayTarget delayTarget,
            RendezvousSubsetting subsetting,
            AdmissionControl admission,
            LoadBalancer.Actions actions) {
        this.isEnabled = visibility.byProbes();
        this.probesPerRequest = LoadVisibility.probesPerRequest(settings);
        this.tickUs = settings.tickUs();
        this.delayTarget = delayTarget;
        this.subsetting = subsetting;
        this.admission = admission;
        this.actions = actions;
    }

    /** Adds the tokens that an arriving request earns; a client's retry earns only one. */
    void addTokens(boolean isRetry) {
        tokens =
                Math.min(
                        tokens + (isRetry ? 1 : probesPerRequest),
                        MAX_SAVED_REQUESTS * probesPerRequest);
    }

    /** Whether picks are waiting for answers to probes. */
    boolean isWaiting(long nowUs) {
        return nowUs < waitUntilUs;
    }

    /** Probes the upstreams of the subset whose load is unknown, if a request is queued. */
    void probe(RequestQueue queue, long nowUs) {
        if (!isEnabled || isWaiting(nowUs) || queue.isEmpty()) {
            return;
        }
        boolean isPanic = subsetting.isPanic(nowUs);
        for (UpstreamState upstream : subsetting.upstreams(nowUs)) {
            if (!isLoadKnownOrRequested(upstream, nowUs)
                    && (isPanic || !subsetting.isEjected(upstream, nowUs))
                    && tokens >= 1
                    && admission.hasCapacity(upstream, queue.first(), nowUs)) {
                tokens--;
                upstream.onDemandProbedAtUs = nowUs;
                actions.probe(upstream.id);
                waitUntilUs = nowUs + (long) (WAIT_ROUND_TRIPS * roundTripUs);
            }
        }
        if (isWaiting(nowUs)) {
            actions.setTimer(TIMER, waitUntilUs - nowUs);
        }
    }

    /** Whether its load is fresh, or a recent probe is outstanding. */
    private boolean isLoadKnownOrRequested(UpstreamState upstream, long nowUs) {
        return isFresh(upstream, nowUs)
                || (isProbeOutstanding(upstream)
                        && nowUs - upstream.onDemandProbedAtUs < delayTarget.tightestUs());
    }

    private static boolean isProbeOutstanding(UpstreamState upstream) {
        return upstream.otherBalancersSeenAtUs < upstream.onDemandProbedAtUs;
    }

    private boolean isFresh(UpstreamState upstream, long nowUs) {
        return nowUs - upstream.otherBalancersSeenAtUs <= FRESH_ROUND_TRIPS * roundTripUs;
    }

    /** Whether on-demand probing is enabled and has a fresh load of that upstream. */
    boolean hasFreshLoad(UpstreamState upstream, long nowUs) {
        return isEnabled && isFresh(upstream, nowUs);
    }

    /**
     * Whether on-demand probing is enabled and has no fresh load, because the upstream hangs or the
     * probe budget is used up. Such an upstream is excluded: in an overload, sends without a fresh
     * load would overload every upstream.
     */
    boolean isUnresponsive(UpstreamState upstream, long nowUs) {
        return isEnabled && !isFresh(upstream, nowUs);
    }

    /** Records the load in the answer to a probe; null if there was none. */
    void recordAnswer(UpstreamState upstream, LoadReport load, long nowUs) {
        if (!isEnabled || load == null || !(load.active() >= 0)) {
            return;
        }
        upstream.otherBalancersInFlight =
                Math.max(0, Math.min(load.active(), MAX_LOAD) - upstream.inFlight);
        upstream.otherBalancersSeenAtUs = nowUs;
        roundTripUs =
                Math.max(
                        tickUs,
                        RequestStatistics.smooth(
                                roundTripUs,
                                nowUs - upstream.onDemandProbedAtUs,
                                RequestStatistics.UPSTREAM_SMOOTHING));
    }

    /** Ends the wait if no probe of the subset is outstanding; returns whether it did. */
    boolean endWaitIfComplete(long nowUs) {
        if (!isEnabled) {
            return false;
        }
        for (UpstreamState upstream : subsetting.upstreams(nowUs)) {
            if (isProbeOutstanding(upstream)) {
                return false;
            }
        }
        waitUntilUs = nowUs;
        return true;
    }
}
