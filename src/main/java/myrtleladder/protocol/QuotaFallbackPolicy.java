package myrtleladder.protocol;

/**
 * The part of a quota that balancers may use without the primary. Balancers and the primary follow
 * the same policy: a balancer that the primary does not answer uses no more than this, and the
 * primary keeps this back for each balancer that does not reach it. Together they stay within the
 * quota, although neither knows what the other does.
 */
public final class QuotaFallbackPolicy {
    /**
     * Time without contact after which the primary reserves units for a balancer. What the balancer
     * uses before, it reports when the primary answers again.
     */
    public static final long RESERVED_AFTER_MS = 1_000;

    /** Time without contact for which the initial fraction applies. */
    private static final long INITIAL_DURATION_MS = 4_000;

    /** Initial fallback rate as a fraction of the quota divided by the number of balancers. */
    public static final double INITIAL_FRACTION = 0.85;

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

    /**
     * Returns the fraction of a balancer's share of the quota that the primary reserves, since the
     * balancer may use it.
     *
     * @param silenceMs time since the balancer was last in contact
     */
    public static double reservedFraction(long silenceMs) {
        if (silenceMs <= RESERVED_AFTER_MS) {
            return 0;
        }
        return silenceMs <= INITIAL_DURATION_MS + RESERVED_AFTER_MS
                ? INITIAL_FRACTION
                : REDUCED_FRACTION;
    }
}
