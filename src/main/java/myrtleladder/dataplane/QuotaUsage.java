package myrtleladder.dataplane;

import java.util.Locale;

/**
 * Counts the quota units that requests of one tenant used at this balancer, by their source, and
 * those that it refused, by their reason. Confined to the event loop.
 */
final class QuotaUsage {
    private double grantedUnits;
    private double fallbackUnits;
    private double fallbackAccruedUnits;
    private double lateUnits;
    private double emptyBucketUnits;
    private double exhaustedFallbackUnits;
    private double unknownShareUnits;

    /** Counts units of a request that were granted by the primary. */
    void addGranted(double units) {
        grantedUnits += units;
    }

    /**
     * Counts units of a request that was admitted without the primary.
     *
     * @param accruedUnits units that had accrued for it; the rest is an overdraft
     */
    void addFallback(double units, double accruedUnits) {
        fallbackUnits += units;
        fallbackAccruedUnits += accruedUnits;
    }

    /** Counts units whose grant came after the request had been decided without the primary. */
    void addLateGrant(double units) {
        lateUnits += units;
    }

    /** Counts units that were refused because the primary's bucket is empty. */
    void addRefusedByPrimary(double units) {
        emptyBucketUnits += units;
    }

    /** Counts units that were refused because too few had accrued without the primary. */
    void addRefusedByFallback(double units) {
        exhaustedFallbackUnits += units;
    }

    /** Counts units that were refused because the number of balancers is not known yet. */
    void addRefusedWithoutShare(double units) {
        unknownShareUnits += units;
    }

    /** Units that were refused, used without the primary or granted too late. */
    double unitsNotGrantedInTime() {
        return fallbackUnits
                + lateUnits
                + emptyBucketUnits
                + exhaustedFallbackUnits
                + unknownShareUnits;
    }

    /** All counts as name=value pairs. */
    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "granted=%.0f fallback=%.0f overdraft=%.0f late=%.0f"
                        + " refused_empty=%.0f refused_fallback=%.0f refused_no_share=%.0f",
                grantedUnits,
                fallbackUnits,
                fallbackUnits - fallbackAccruedUnits,
                lateUnits,
                emptyBucketUnits,
                exhaustedFallbackUnits,
                unknownShareUnits);
    }
}
