package myrtleladder.dataplane;

import myrtleladder.configuration.Service;

/**
 * Detects upstreams that have sent no byte for longer than their pending work accounts for.
 * Confined to the event loop.
 */
final class UnresponsiveUpstreamDetector {
    /** Timeout of a model upstream without a backlog. */
    private static final long BASE_MODEL_TIMEOUT_MS = 700;

    /** Extension of the timeout as a multiple of the prefill time of the backlog. */
    private static final double BACKLOG_TIMEOUT_FACTOR = 2;

    /** Minimum timeout of other upstreams. */
    private static final long MIN_NON_MODEL_TIMEOUT_MS = 400;

    /** Timeout of other upstreams as a multiple of their average response time. */
    private static final double RESPONSE_TIME_FACTOR = 6;

    private final PrefillTimeEstimator prefillTime;

    UnresponsiveUpstreamDetector(PrefillTimeEstimator prefillTime) {
        this.prefillTime = prefillTime;
    }

    /** Whether the upstream of a sent attempt has exceeded its timeout. */
    boolean isUnresponsive(Attempt attempt, Service service, long nowMs) {
        Upstream upstream = attempt.upstream();
        long lastActivityAtMs = Math.max(upstream.lastByteAtMs(), attempt.sentAtMs());
        return nowMs - lastActivityAtMs > timeoutMs(upstream, service);
    }

    private double timeoutMs(Upstream upstream, Service service) {
        if (service.engine() == null) {
            return Math.max(
                    MIN_NON_MODEL_TIMEOUT_MS, RESPONSE_TIME_FACTOR * upstream.responseTimeMs());
        }
        double weightedBacklogTokens = BACKLOG_TIMEOUT_FACTOR * upstream.pendingPromptTokens();
        return BASE_MODEL_TIMEOUT_MS + weightedBacklogTokens * prefillTime.msPerToken();
    }
}
