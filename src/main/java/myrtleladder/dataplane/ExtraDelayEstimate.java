package myrtleladder.dataplane;

/**
 * Smoothed delay of an upstream's first events beyond what known work explains; it halves with time
 * so that the upstream is used again. Confined to the event loop; belongs to one {@link Upstream}.
 */
final class ExtraDelayEstimate {
    /** Time in which the estimate halves without samples. */
    private static final double HALF_LIFE_MS = 800;

    /** Weight of a sample: twice that of other averages. */
    private static final double SMOOTHING = 2 * OutlierEjection.SMOOTHING;

    private double delayMs;
    private long sampledAtMs;

    void addSample(double sampleMs, long nowMs) {
        double currentMs = valueMs(nowMs);
        delayMs = Math.max(0, currentMs + SMOOTHING * (sampleMs - currentMs));
        sampledAtMs = nowMs;
    }

    double valueMs(long nowMs) {
        return delayMs * Math.pow(0.5, (nowMs - sampledAtMs) / HALF_LIFE_MS);
    }
}
