package myrtleladder.maintenance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Checks the terms of plans: how many machines may be missing at once, and which ones together. The
 * terms of all plans with a machine missing apply, and upstreams that fail by themselves count.
 */
final class CapacityRules {
    private CapacityRules() {}

    /**
     * Why a machine can't be missing now, as operators see it; null if it can.
     *
     * @param failing upstreams that fail by themselves
     */
    static String violation(
            MaintenanceJob job,
            Collection<MaintenanceJob> jobs,
            Map<String, MaintenancePlan> plans,
            List<String> failing) {
        List<MaintenanceJob> missing = new ArrayList<>();
        for (MaintenanceJob other : jobs) {
            if (!other.machine().equals(job.machine()) && other.state().missing()) {
                missing.add(other);
            }
        }
        missing.add(job);
        long missingCount = missing.size() + countOthers(failing, missing);
        for (MaintenanceJob one : missing) {
            PlanTerms terms = plans.get(one.plan()).terms();
            String reason = limitExceeded(terms, one, missing, missingCount);
            if (reason == null) {
                reason = conflict(terms, one, missing);
            }
            if (reason != null) {
                return "plan " + one.plan() + " allows " + reason;
            }
        }
        return null;
    }

    /** Failing upstreams that are not missing anyway. */
    private static long countOthers(List<String> failing, List<MaintenanceJob> missing) {
        return failing.stream()
                .filter(f -> missing.stream().noneMatch(j -> f.equals(j.spec().upstream())))
                .count();
    }

    private static String limitExceeded(
            PlanTerms terms, MaintenanceJob job, List<MaintenanceJob> missing, long missingCount) {
        long zone = job.spec().zone();
        long missingInZone = missing.stream().filter(j -> j.spec().zone() == zone).count();
        if (missingCount > terms.atOnce()) {
            return terms.atOnce() + " at once";
        }
        if (missingInZone > terms.perZone()) {
            return terms.perZone() + " in a zone";
        }
        return missingCount > terms.sparable()
                ? terms.keepPercent() + "% that have to serve"
                : null;
    }

    @SuppressWarnings("ReferenceEquality") // the same job of this schedule, not an equal one
    private static String conflict(
            PlanTerms terms, MaintenanceJob job, List<MaintenanceJob> missing) {
        for (MaintenanceJob other : missing) {
            if (other != job && isTogether(terms.apart(), job.spec(), other.spec())) {
                return "no two of one " + terms.apart().name().toLowerCase(Locale.ROOT);
            }
        }
        return null;
    }

    private static boolean isTogether(PlanTerms.Apart apart, MachineSpec one, MachineSpec other) {
        return switch (apart) {
            case CELL -> one.zone() == other.zone() && one.cell() == other.cell();
            case KIND -> one.kind() == other.kind();
            case NOTHING -> false;
        };
    }
}
