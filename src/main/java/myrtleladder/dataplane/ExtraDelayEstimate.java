package myrtleladder.dataplane;

/**
 * Moving average of the delay of an upstream's first events beyond the delay that known requests
 * predict. The estimate decays exponentially so that a slow upstream is eventually tried again.
 * Confined to the event loop; belongs to one {@link Upstream}.
 */
final class ExtraDelayEstimate {
    /** Half-life of the estimate between samples. */
    private static final double HALF_LIFE_MS = 800;

    /** Weight of a new sample: twice the weight in the other moving averages. */
    private static final double SMOOTHING_FACTOR = 2 * OutlierEjection.SMOOTHING_FACTOR;

    private double delayMs;
    private long sampledAtMs;

    /** Adds the delay of one first event; negative samples lower the estimate, down to 0. */
    void addSample(double sampleMs, long nowMs) {
        double decayedMs = valueMs(nowMs);
        delayMs = Math.max(0, decayedMs + SMOOTHING_FACTOR * (sampleMs - decayedMs));
        sampledAtMs = nowMs;
    }

    /** The decayed estimate in milliseconds. */
    double valueMs(long nowMs) {
        return delayMs * Math.pow(0.5, (nowMs - sampledAtMs) / HALF_LIFE_MS);
    }
}
