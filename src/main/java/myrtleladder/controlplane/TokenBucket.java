package myrtleladder.controlplane;

/**
 * The token bucket of a tenant. Its level may fall below zero: a request leaves a debt, so that
 * large requests are not passed over for small ones.
 *
 * <p>Invariant: the level is at most the capacity. Confined to the event loop; {@link
 * QuotaAllocator} owns it.
 */
final class TokenBucket {
    private static final double MS_PER_S = 1_000;

    private final double ratePerS;
    private final double capacity;
    private double level;
    private long refilledAtMs;

    /**
     * Creates a bucket that holds {@code level} units now, at most its capacity.
     *
     * @param ratePerS units a second by which the level rises
     * @param capacity the highest level, in units
     */
    TokenBucket(double ratePerS, double capacity, double level, long nowMs) {
        this.ratePerS = ratePerS;
        this.capacity = capacity;
        this.level = Math.min(capacity, level);
        this.refilledAtMs = nowMs;
    }

    /** Adds what has accrued since the last refill. */
    void refill(long nowMs) {
        level = Math.min(capacity, level + ratePerS * (nowMs - refilledAtMs) / MS_PER_S);
        refilledAtMs = nowMs;
    }

    /** The units that are left; negative for a debt. */
    double level() {
        return level;
    }

    /** Whether more than a share of the capacity is left. */
    boolean isAbove(double share) {
        return level > share * capacity;
    }

    /** Takes units out, also more than are left. */
    void take(double units) {
        level -= units;
    }

    /** Puts unused units back. */
    void putBack(double units) {
        level = Math.min(capacity, level + units);
    }

    /** Milliseconds until a debt is paid, at least 1. */
    long msUntilPositive() {
        return Math.max(1, Math.round(-level / ratePerS * MS_PER_S));
    }
}
