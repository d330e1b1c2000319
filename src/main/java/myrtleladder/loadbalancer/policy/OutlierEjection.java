package myrtleladder.loadbalancer.policy;

import java.util.List;

/**
 * Ejects upstreams that hang, refuse connections, reject requests while idle or mostly return
 * errors. Each further ejection lasts twice as long, until the upstream answers. If the fraction of
 * healthy upstreams is below the panic threshold, ejections are ignored.
 */
final class OutlierEjection {
    /** An upstream hangs if it answers nothing for this number of typical answer times. */
    static final double HANG_ANSWER_TIMES = 6;

    /** Duration of the first ejection, microseconds. Doubles with each further one. */
    static final long INITIAL_EJECTION_US = 1_000_000;

    /** Maximum duration of an ejection, microseconds. */
    private static final long MAX_EJECTION_US = 8_000_000;

    /** Fraction of healthy upstreams below which ejections are ignored. */
    private static final double PANIC_THRESHOLD = 0.4;

    /** Smoothed error rate above which an upstream is ejected. */
    private static final double MAX_ERROR_RATE = 0.5;

    private final RequestStatistics statistics;
    private final QueueingDelayTarget delayTarget;

    OutlierEjection(RequestStatistics statistics, QueueingDelayTarget delayTarget) {
        this.statistics = statistics;
        this.delayTarget = delayTarget;
    }

    /** Ejects an upstream, unless it is ejected already. */
    void eject(UpstreamState upstream, long nowUs) {
        if (upstream.ejectedUntilUs <= nowUs) {
            upstream.ejectedUntilUs = nowUs + upstream.nextEjectionUs;
            upstream.nextEjectionUs = Math.min(MAX_EJECTION_US, upstream.nextEjectionUs * 2);
        }
    }

    /** Records an answer, which ends an ejection: the upstream is healthy. */
    void recordSuccess(UpstreamState upstream) {
        upstream.isHanging = false;
        upstream.ejectedUntilUs = 0;
        upstream.nextEjectionUs = INITIAL_EJECTION_US;
        upstream.errorRate *= 1 - RequestStatistics.UPSTREAM_SMOOTHING;
    }

    /** Records an error or a reset, and ejects the upstream if its error rate is too high. */
    void recordError(UpstreamState upstream, long nowUs) {
        upstream.errorRate += RequestStatistics.UPSTREAM_SMOOTHING * (1 - upstream.errorRate);
        if (upstream.errorRate > MAX_ERROR_RATE) {
            eject(upstream, nowUs);
        }
    }

    /** Ejects each upstream with requests in flight that has answered nothing for too long. */
    void ejectHanging(List<UpstreamState> upstreams, long nowUs) {
        for (UpstreamState upstream : upstreams) {
            long sinceProgressUs = nowUs - upstream.lastProgressAtUs;
            double expectedUs =
                    HANG_ANSWER_TIMES
                                    * Math.max(
                                            Math.max(
                                                    upstream.answerTimeUs,
                                                    statistics.answerTimeUs()),
                                            delayTarget.tightestUs())
                            + upstream.workInFlight * Math.max(1, upstream.minServiceTime);
            if (!upstream.isHanging && upstream.inFlight > 0 && sinceProgressUs > expectedUs) {
                upstream.isHanging = true;
                eject(upstream, nowUs);
            }
        }
    }

    /**
     * Whether an upstream may not be sent a request now. After an ejection it gets one request at a
     * time until it answers.
     */
    boolean isEjected(UpstreamState upstream, long nowUs) {
        return upstream.ejectedUntilUs > nowUs
                || (upstream.isUnprovenSinceEjection() && upstream.inFlight > 0);
    }

    /** Whether so few upstreams are healthy that ejections must be ignored. */
    boolean isPanic(List<UpstreamState> upstreams, long nowUs) {
        int healthy = 0;
        for (UpstreamState upstream : upstreams) {
            healthy += isEjected(upstream, nowUs) ? 0 : 1;
        }
        return healthy < PANIC_THRESHOLD * upstreams.size();
    }
}
