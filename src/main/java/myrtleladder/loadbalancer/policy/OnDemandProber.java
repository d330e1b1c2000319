package myrtleladder.loadbalancer.policy;

/**
 * Probes the subset for its load before a pick, where probes are cheap enough and reports come no
 * other way. Upstreams that do not answer meanwhile are taken for hanging and left out.
 */
final class OnDemandProber {
    /** The timer that ends the wait for answers. */
    static final String TIMER = "ask";

    /** Requests' worth of probing saved up for those queued. */
    private static final double MOST_SAVED_REQUESTS = 10;

    /** Expected round trip of a probe until one was seen, microseconds. */
    private static final long FIRST_ROUND_TRIP_US = 5_000;

    /** Round trips to wait for the answers before a pick. */
    private static final int WAIT_ROUND_TRIPS = 2;

    /** Round trips after which a load is not fresh any more. */
    private static final int FRESH_ROUND_TRIPS = 4;

    /** Greatest load taken from an answer, in requests. */
    private static final int GREATEST_LOAD = 255;

    private final boolean isEnabled;
    private final double probesPerRequest;
    private final long tickUs;
    private final QueueingDelayTarget delayTarget;
    private final RendezvousSubsetting subsetting;
    private final AdmissionControl admission;
    private final LoadBalancer.Actions actions;
    private double tokens;
    private double roundTripUs = FIRST_ROUND_TRIP_US;
    private long decideAtUs;

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

    /** A request has arrived: it earns its probes, a client's retry no more than one. */
    void earnTokens(boolean isRetry) {
        tokens =
                Math.min(
                        tokens + (isRetry ? 1 : probesPerRequest),
                        MOST_SAVED_REQUESTS * probesPerRequest);
    }

    /** Whether picks wait for answers to probes. */
    boolean isWaiting(long nowUs) {
        return nowUs < decideAtUs;
    }

    /** Probes what is not known of the subset, unless no request is queued. */
    void probe(RequestQueue queue, long nowUs) {
        if (!isEnabled || isWaiting(nowUs) || queue.isEmpty()) {
            return;
        }
        boolean isPanic = subsetting.isPanic(nowUs);
        for (UpstreamState upstream : subsetting.upstreams(nowUs)) {
            if (!isKnown(upstream, nowUs)
                    && (isPanic || !subsetting.isEjected(upstream, nowUs))
                    && tokens >= 1
                    && admission.hasRoom(upstream, queue.first(), nowUs)) {
                tokens--;
                upstream.onDemandProbedAtUs = nowUs;
                actions.probe(upstream.id);
                decideAtUs = nowUs + (long) (WAIT_ROUND_TRIPS * roundTripUs);
            }
        }
        if (isWaiting(nowUs)) {
            actions.timer(TIMER, decideAtUs - nowUs);
        }
    }

    /** Whether its load is fresh, or will be: a probe is under way. */
    private boolean isKnown(UpstreamState upstream, long nowUs) {
        return isFresh(upstream, nowUs)
                || (isProbeOutstanding(upstream)
                        && nowUs - upstream.onDemandProbedAtUs < delayTarget.tightestUs());
    }

    private static boolean isProbeOutstanding(UpstreamState upstream) {
        return upstream.othersSeenAtUs < upstream.onDemandProbedAtUs;
    }

    private boolean isFresh(UpstreamState upstream, long nowUs) {
        return nowUs - upstream.othersSeenAtUs <= FRESH_ROUND_TRIPS * roundTripUs;
    }

    /** Whether on-demand probing is in use and has a fresh load of that upstream. */
    boolean hasFreshLoad(UpstreamState upstream, long nowUs) {
        return isEnabled && isFresh(upstream, nowUs);
    }

    /**
     * Whether on-demand probing is in use and has no fresh load: the upstream hangs, or probing was
     * too expensive. In an overload, sends without a fresh load crowded every upstream.
     */
    boolean isUnresponsive(UpstreamState upstream, long nowUs) {
        return isEnabled && !isFresh(upstream, nowUs);
    }

    /** Takes in the load that a probe was answered with, null if none. */
    void recordAnswer(UpstreamState upstream, LoadReport load, long nowUs) {
        if (!isEnabled || load == null || !(load.active() >= 0)) {
            return;
        }
        upstream.othersInFlight =
                Math.max(0, Math.min(load.active(), GREATEST_LOAD) - upstream.inFlight);
        upstream.othersSeenAtUs = nowUs;
        roundTripUs =
                Math.max(
                        tickUs,
                        RequestStatistics.smooth(
                                roundTripUs,
                                nowUs - upstream.onDemandProbedAtUs,
                                RequestStatistics.UPSTREAM_SMOOTHING));
    }

    /** Ends the wait if no probe of the subset is outstanding; whether it did. */
    boolean endWaitIfComplete(long nowUs) {
        if (!isEnabled) {
            return false;
        }
        for (UpstreamState upstream : subsetting.upstreams(nowUs)) {
            if (isProbeOutstanding(upstream)) {
                return false;
            }
        }
        decideAtUs = nowUs;
        return true;
    }
}
