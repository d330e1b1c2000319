package myrtleladder.dataplane;

/**
 * Outlier ejection of an upstream after failures. The ejection time doubles with each ejection and
 * is reset by the first success. Confined to the event loop; belongs to one {@link Upstream}.
 */
final class OutlierEjection {
    /** Weight of a new sample in exponential moving averages. */
    static final double SMOOTHING_FACTOR = 0.2;

    /** Duration of the first ejection. */
    private static final long BASE_EJECTION_MS = 700;

    /** Maximum duration of an ejection. */
    private static final long MAX_EJECTION_MS = 6_000;

    /** Error rate above which a failure leads to ejection. */
    private static final double ERROR_RATE_THRESHOLD = 0.5;

    /** Number of consecutive failures that leads to ejection. */
    private static final int CONSECUTIVE_FAILURE_THRESHOLD = 3;

    private double errorRate;
    private int consecutiveFailures;
    private long ejectedUntilMs;
    private long nextEjectionDurationMs = BASE_EJECTION_MS;

    /** Ends a current ejection and resets the ejection duration. */
    void recordSuccess() {
        errorRate *= 1 - SMOOTHING_FACTOR;
        nextEjectionDurationMs = BASE_EJECTION_MS;
        ejectedUntilMs = 0;
        consecutiveFailures = 0;
    }

    /** Records a failure; returns true if the caller should eject the upstream. */
    boolean recordFailure() {
        errorRate += SMOOTHING_FACTOR * (1 - errorRate);
        consecutiveFailures++;
        return errorRate > ERROR_RATE_THRESHOLD
                || consecutiveFailures >= CONSECUTIVE_FAILURE_THRESHOLD;
    }

    /** Ejects the upstream; returns false if it is already ejected. */
    boolean eject(long nowMs) {
        if (isEjected(nowMs)) {
            return false;
        }
        ejectedUntilMs = nowMs + nextEjectionDurationMs;
        nextEjectionDurationMs = Math.min(MAX_EJECTION_MS, nextEjectionDurationMs * 2);
        return true;
    }

    boolean isEjected(long nowMs) {
        return ejectedUntilMs > nowMs;
    }

    /** Whether no request has succeeded since the last ejection. */
    boolean isProbing() {
        return nextEjectionDurationMs > BASE_EJECTION_MS;
    }

    /** Moving average of the fraction of failed requests, 0 to 1. */
    double errorRate() {
        return errorRate;
    }
}
