package myrtleladder.maintenance;

/**
 * Settings of maintenance; the same in all processes of a cluster.
 *
 * @param fleet name of the cluster; messages of another one are dropped
 * @param intervalUs time between two requests for a lease, and between two looks at the jobs
 * @param leaseUs how long a process may send after it requested a lease, by its own clock
 * @param longestAttemptUs how long an attempt is in flight at most: one that was sent with a lease
 *     may end that much after it
 * @param clockDriftPpm how far two steady clocks go apart at most, in parts per million
 * @param unreachableAfterUs how long a process in no view has to be unseen before it is gone
 * @param longestMaintenanceUs the longest maintenance; nothing is taken out for so long after a
 *     bootstrap, since what was permitted before may be going on
 */
public record MaintenanceSettings(
        String fleet,
        long intervalUs,
        long leaseUs,
        long longestAttemptUs,
        long clockDriftPpm,
        long unreachableAfterUs,
        long longestMaintenanceUs) {
    private static final long PARTS_PER_MILLION = 1_000_000;

    /** Added to the end of a lease for processing. */
    private static final long LEASE_MARGIN_US = 50_000;

    /** Default of {@code intervalUs}. */
    private static final long DEFAULT_INTERVAL_US = 200_000;

    /** Default of {@code leaseUs}. */
    private static final long DEFAULT_LEASE_US = 1_500_000;

    /** Default of {@code clockDriftPpm}. */
    private static final long DEFAULT_CLOCK_DRIFT_PPM = 1_000;

    /** Default of {@code unreachableAfterUs}. */
    private static final long DEFAULT_UNREACHABLE_AFTER_US = 3_000_000;

    /** The default settings. */
    public static MaintenanceSettings of(
            String fleet, long longestAttemptUs, long longestMaintenanceUs) {
        return new MaintenanceSettings(
                fleet,
                DEFAULT_INTERVAL_US,
                DEFAULT_LEASE_US,
                longestAttemptUs,
                DEFAULT_CLOCK_DRIFT_PPM,
                DEFAULT_UNREACHABLE_AFTER_US,
                longestMaintenanceUs);
    }

    /**
     * How long after a grant, by the clock of who granted it, an attempt may be in flight that was
     * sent with the lease.
     */
    long leaseExpiryUs() {
        long inFlightUs = leaseUs + longestAttemptUs;
        return inFlightUs + 2 * inFlightUs * clockDriftPpm / PARTS_PER_MILLION + LEASE_MARGIN_US;
    }
}
