package myrtleladder.dataplane;

/**
 * Units of a tenant that this balancer used without the primary and that the primary does not know
 * of yet. Only units of one epoch are kept: a later primary's buckets were not refilled in the time
 * in which the earlier ones were used. Confined to the event loop.
 */
final class UnreportedUsage {
    private static final Report NOTHING = new Report(0, 0);

    private double units;
    private long epoch;

    /** Units sent with a request to the primary, and the epoch in which they were used. */
    record Report(double units, long epoch) {}

    double units() {
        return units;
    }

    void clear() {
        units = 0;
    }

    /** Adds units that were used after the primary of an epoch responded last. */
    void add(double added, long usedInEpoch) {
        if (epoch != usedInEpoch) {
            epoch = usedInEpoch;
            units = 0;
        }
        units += added;
    }

    /** Removes units of an epoch that the primary has granted after all. */
    void remove(double removed, long grantedInEpoch) {
        if (epoch == grantedInEpoch) {
            units = Math.max(0, units - removed);
        }
    }

    /** Takes all units for a report. */
    Report take() {
        if (units == 0) {
            return NOTHING;
        }
        Report report = new Report(units, epoch);
        units = 0;
        return report;
    }

    /** Puts the units of a report back, since the primary may not have received it. */
    void restore(Report report) {
        if (report.units() > 0 && (units == 0 || epoch == report.epoch())) {
            epoch = report.epoch();
            units += report.units();
        }
    }
}
