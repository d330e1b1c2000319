package myrtleladder.dataplane;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The requests of a tenant that upstreams ran, as the rule of quotas counts them: those that were
 * both sent and arrived within a window that may begin at any time.
 */
final class TenantRunLog {
    static final long WINDOW_MS = 8_000;

    private final List<Run> runs = new ArrayList<>();

    /** A request that ran. */
    private record Run(long sentAtMs, long arrivedAtMs, double units) {}

    void add(long sentAtMs, long arrivedAtMs, double units) {
        runs.add(new Run(sentAtMs, arrivedAtMs, units));
    }

    /** The units that the rule allows in a window. */
    static double allowedUnits(double ratePerS, double burst) {
        return (ratePerS * WINDOW_MS / 1_000 + burst) * (1 + QuotaFleet.OVERAGE_RATIO)
                + QuotaFleet.SLACK_UNITS;
    }

    /** Most units in any window. */
    double peakUnits() {
        return peakUnitsFrom(Long.MIN_VALUE);
    }

    /** Most units in any window that begins at or after a time. */
    double peakUnitsFrom(long fromMs) {
        runs.sort(Comparator.comparingLong(Run::sentAtMs));
        double peak = 0;
        for (int first = 0; first < runs.size(); first++) {
            if (runs.get(first).sentAtMs() >= fromMs) {
                peak = Math.max(peak, unitsOfWindow(first));
            }
        }
        return peak;
    }

    private double unitsOfWindow(int first) {
        long endMs = runs.get(first).sentAtMs() + WINDOW_MS;
        double units = 0;
        for (int i = first; i < runs.size() && runs.get(i).sentAtMs() <= endMs; i++) {
            units += runs.get(i).arrivedAtMs() <= endMs ? runs.get(i).units() : 0;
        }
        return units;
    }
}
