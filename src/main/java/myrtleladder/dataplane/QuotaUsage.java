package myrtleladder.dataplane;

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

    /** Units that were used, refused or granted too late because the primary did not answer. */
    double unitsWithoutPrimary() {
        return fallbackUnits + lateUnits + exhaustedFallbackUnits + unknownShareUnits;
    }

    /** All counts as name=value pairs. */
    @Override
    public String toString() {
        return "granted="
                + Math.round(grantedUnits)
                + " fallback="
                + Math.round(fallbackUnits)
                + " overdraft="
                + Math.round(fallbackUnits - fallbackAccruedUnits)
                + " late="
                + Math.round(lateUnits)
                + " refused_empty="
                + Math.round(emptyBucketUnits)
                + " refused_fallback="
                + Math.round(exhaustedFallbackUnits)
                + " refused_no_share="
                + Math.round(unknownShareUnits);
    }
}
