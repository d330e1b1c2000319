package myrtleladder.controlplane;

/**
 * The token bucket of a tenant. Its level may become negative (a debt): a request is granted in
 * full while the level is positive, so that small requests cannot starve large ones.
 *
 * <p>Invariant: the level is at most the capacity. Confined to the event loop; {@link
 * QuotaAllocator} owns it.
 */
final class TokenBucket {
    private static final double MS_PER_S = 1_000;

    private double ratePerS;
    private final double capacity;
    private double level;
    private long refilledAtMs;

    /**
     * Creates a bucket with {@code level} units, limited to its capacity.
     *
     * @param ratePerS refill rate in units per second
     * @param capacity maximum level, in units
     */
    TokenBucket(double ratePerS, double capacity, double level, long nowMs) {
        this.ratePerS = ratePerS;
        this.capacity = capacity;
        this.level = Math.min(capacity, level);
        this.refilledAtMs = nowMs;
    }

    /** Adds the units that have accrued since the last refill. */
    void refill(long nowMs) {
        level = Math.min(capacity, level + ratePerS * (nowMs - refilledAtMs) / MS_PER_S);
        refilledAtMs = nowMs;
    }

    /** Changes the refill rate, in units per second, from now on. */
    void setRate(double newRatePerS, long nowMs) {
        refill(nowMs);
        ratePerS = newRatePerS;
    }

    /** Returns the available units; negative for a debt. */
    double level() {
        return level;
    }

    /** Returns whether the level exceeds a fraction of the capacity. */
    boolean isFilledAbove(double fraction) {
        return level > fraction * capacity;
    }

    /** Consumes units, possibly more than are available. */
    void consume(double units) {
        level -= units;
    }

    /** Returns unused units to the bucket. */
    void refund(double units) {
        level = Math.min(capacity, level + units);
    }

    /** Returns the time until the level is positive again, in milliseconds, at least 1. */
    long timeUntilPositiveMs() {
        return Math.max(1, Math.round(-level / ratePerS * MS_PER_S));
    }
}
