package myrtleladder.protocol;

/** The part of a quota that balancers may use without the primary. */
public final class QuotaFallbackPolicy {
    /** Time without contact for which the initial fraction applies. */
    private static final long INITIAL_DURATION_MS = 4_000;

    /** Initial fallback rate as a fraction of the quota divided by the number of balancers. */
    private static final double INITIAL_FRACTION = 0.85;

    /** Later fallback rate as a fraction of the quota divided by the number of balancers. */
    private static final double REDUCED_FRACTION = 0.25;

    private QuotaFallbackPolicy() {}

    /**
     * Returns for how many milliseconds of its share of the quota a balancer may use units, if it
     * has been without the primary for a time.
     */
    public static double allowanceMs(long elapsedMs) {
        long initialMs = Math.min(elapsedMs, INITIAL_DURATION_MS);
        return initialMs * INITIAL_FRACTION + (elapsedMs - initialMs) * REDUCED_FRACTION;
    }
}
