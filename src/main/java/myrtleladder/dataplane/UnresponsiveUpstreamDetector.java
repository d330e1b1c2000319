package myrtleladder.dataplane;

import myrtleladder.configuration.Service;

/**
 * Detects upstreams from which no byte came for longer than their work explains. Confined to the
 * event loop.
 */
final class UnresponsiveUpstreamDetector {
    /** Timeout of a model upstream without backlog. */
    private static final long MODEL_TIMEOUT_MS = 700;

    /** Multiple of the time that reading the backlog takes by which it extends it. */
    private static final double BACKLOG_FACTOR = 2;

    /** Shortest timeout of other upstreams. */
    private static final long MIN_PLAIN_TIMEOUT_MS = 400;

    /** Timeout of other upstreams as a multiple of their mean response time. */
    private static final double RESPONSE_TIME_FACTOR = 6;

    private final PrefillTimeEstimator prefillTime;

    UnresponsiveUpstreamDetector(PrefillTimeEstimator prefillTime) {
        this.prefillTime = prefillTime;
    }

    /** Whether the upstream of an attempt that was sent has timed out. */
    boolean isUnresponsive(Attempt attempt, Service service, long nowMs) {
        Upstream upstream = attempt.upstream();
        long quietSinceMs = Math.max(upstream.lastByteAtMs(), attempt.sentAtMs());
        return nowMs - quietSinceMs > timeoutMs(upstream, service);
    }

    private double timeoutMs(Upstream upstream, Service service) {
        if (service.engine() == null) {
            return Math.max(MIN_PLAIN_TIMEOUT_MS, RESPONSE_TIME_FACTOR * upstream.responseTimeMs());
        }
        double backlogTokens = BACKLOG_FACTOR * upstream.pendingPromptTokens();
        return MODEL_TIMEOUT_MS + backlogTokens * prefillTime.msPerToken();
    }
}
