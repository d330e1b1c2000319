package myrtleladder.dataplane;

/**
 * Ejects an upstream after failures for a time that doubles with each ejection and falls back with
 * the first success. Confined to the event loop; belongs to one {@link Upstream}.
 */
final class OutlierEjection {
    /** Weight of a sample in exponential moving averages. */
    static final double SMOOTHING = 0.2;

    /** Duration of the first ejection. */
    private static final long BASE_EJECTION_MS = 700;

    /** Longest duration of an ejection. */
    private static final long MAX_EJECTION_MS = 6_000;

    /** Error rate beyond which a failure ejects. */
    private static final double MAX_ERROR_RATE = 0.5;

    /** Consecutive failures that eject. */
    private static final int CONSECUTIVE_FAILURES = 3;

    private double errorRate;
    private int consecutiveFailures;
    private long ejectedUntilMs;
    private long nextEjectionMs = BASE_EJECTION_MS;

    /** Ends an ejection and starts anew with the first duration. */
    void recordSuccess() {
        errorRate *= 1 - SMOOTHING;
        nextEjectionMs = BASE_EJECTION_MS;
        ejectedUntilMs = 0;
        consecutiveFailures = 0;
    }

    /** Records a failure; true if the upstream is to be ejected for it. */
    boolean recordFailure() {
        errorRate += SMOOTHING * (1 - errorRate);
        consecutiveFailures++;
        return errorRate > MAX_ERROR_RATE || consecutiveFailures >= CONSECUTIVE_FAILURES;
    }

    /** Ejects; false if it is ejected already. */
    boolean eject(long nowMs) {
        if (isEjected(nowMs)) {
            return false;
        }
        ejectedUntilMs = nowMs + nextEjectionMs;
        nextEjectionMs = Math.min(MAX_EJECTION_MS, nextEjectionMs * 2);
        return true;
    }

    boolean isEjected(long nowMs) {
        return ejectedUntilMs > nowMs;
    }

    /** Whether no request succeeded since the last ejection. */
    boolean isProbing() {
        return nextEjectionMs > BASE_EJECTION_MS;
    }

    /** Smoothed share of requests that failed, 0 to 1. */
    double errorRate() {
        return errorRate;
    }
}
