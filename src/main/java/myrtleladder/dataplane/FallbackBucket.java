package myrtleladder.dataplane;

import myrtleladder.protocol.QuotaFallbackPolicy;

/**
 * The units of a tenant's quota that this balancer may use while the primary does not respond. They
 * accrue as {@link QuotaFallbackPolicy} says.
 *
 * <p>A request that costs more than has accrued is admitted with the probability accrued / cost and
 * uses up what has accrued in either case. So the expected use is what has accrued, whatever the
 * costs of requests and however many balancers there are. The probabilities are summed up from a
 * random start, and a request is admitted when the sum passes a whole number, so that what a
 * balancer uses differs from the expected use by less than one request. Confined to the event loop.
 */
final class FallbackBucket {
    /** Maximum of the accrued units, in milliseconds of this balancer's share of the quota. */
    private static final double CAPACITY_MS = 1_000;

    private static final double MS_PER_S = 1_000;

    private double accruedMs;
    private long periodStartMs = Long.MIN_VALUE;
    private long accruedUntilMs;

    /** Sum of the probabilities, without its whole part. */
    private double probabilitySum;

    /**
     * The outcome of a request.
     *
     * @param consumedUnits accrued units that the request consumed, the expected value of its use
     */
    record Outcome(boolean isAdmitted, double consumedUnits) {
        /** The outcome of a request for which nothing has accrued. */
        static final Outcome REJECTED = new Outcome(false, 0);
    }

    /**
     * Creates an empty bucket.
     *
     * @param initialDebt random number from 0 to 1: probabilities have to add up to it before the
     *     first request is admitted
     */
    FallbackBucket(double initialDebt) {
        probabilitySum = 1 - initialDebt;
    }

    /**
     * Decides about a request.
     *
     * @param shareRatePerS this balancer's share of the tenant's quota, in units per second
     * @param unavailableSinceMs when the primary became unavailable; nothing has accrued before
     */
    Outcome acquire(double costUnits, double shareRatePerS, long unavailableSinceMs, long nowMs) {
        accrue(unavailableSinceMs, nowMs);
        double accruedUnits = accruedMs * shareRatePerS / MS_PER_S;
        double consumedUnits = Math.min(costUnits, accruedUnits);
        accruedMs -= consumedUnits / shareRatePerS * MS_PER_S;
        probabilitySum += consumedUnits / costUnits;
        boolean isAdmitted = probabilitySum >= 1;
        if (isAdmitted) {
            probabilitySum -= 1;
        }
        return new Outcome(isAdmitted, consumedUnits);
    }

    /** Returns units that a request did not use, up to the capacity. */
    void refund(double units, double shareRatePerS) {
        accruedMs = Math.min(CAPACITY_MS, accruedMs + units / shareRatePerS * MS_PER_S);
    }

    private void accrue(long unavailableSinceMs, long nowMs) {
        if (periodStartMs != unavailableSinceMs) {
            periodStartMs = unavailableSinceMs;
            accruedUntilMs = unavailableSinceMs;
            accruedMs = 0;
        }
        double addedMs =
                QuotaFallbackPolicy.allowanceMs(nowMs - periodStartMs)
                        - QuotaFallbackPolicy.allowanceMs(accruedUntilMs - periodStartMs);
        accruedMs = Math.min(CAPACITY_MS, accruedMs + addedMs);
        accruedUntilMs = nowMs;
    }
}
