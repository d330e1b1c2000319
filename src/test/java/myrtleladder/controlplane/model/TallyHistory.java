package myrtleladder.controlplane.model;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Records the additions of clients and their outcomes, and checks that each total that is read is
 * neither below a minimum of acknowledged additions, which the caller chooses, nor above the sum of
 * those that may have been applied.
 */
final class TallyHistory {
    private final HistoryChecker checker;
    private final Map<String, Addition> additionById = new LinkedHashMap<>();
    private final Map<String, Long> acknowledgedByProcess = new HashMap<>();
    private final Set<String> countedByProcess = new HashSet<>();

    /** An addition and the state of its attempts. */
    private static final class Addition {
        private final String tally;
        private final long amount;
        private int pendingAttempts;
        private boolean isUncertain;
        private boolean isAcknowledged;
        private boolean mustBeRetained = true;
        private String acknowledgedBy = "";

        Addition(String tally, long amount) {
            this.tally = tally;
            this.amount = amount;
        }

        boolean isPossiblyApplied() {
            return pendingAttempts > 0 || isUncertain || isAcknowledged;
        }
    }

    TallyHistory(HistoryChecker checker) {
        this.checker = checker;
    }

    /** Records an attempt to add. */
    void recordSent(String tally, String id, long amount) {
        additionById.computeIfAbsent(id, i -> new Addition(tally, amount)).pendingAttempts++;
    }

    /** Records that an attempt was refused and certainly not applied. */
    void recordRefused(String id) {
        additionById.get(id).pendingAttempts--;
    }

    /** Records that the outcome of an attempt is unknown. */
    void recordUncertain(String id) {
        additionById.get(id).pendingAttempts--;
        additionById.get(id).isUncertain = true;
    }

    /** Records an acknowledgement by a process. */
    void recordAcknowledged(String id, String process) {
        Addition addition = additionById.get(id);
        addition.pendingAttempts--;
        addition.isAcknowledged = true;
        addition.acknowledgedBy = process;
        if (countedByProcess.add(process + id)) {
            acknowledgedByProcess.merge(process + addition.tally, addition.amount, Long::sum);
        }
    }

    /**
     * Excludes from {@link #acknowledged} the additions whose latest acknowledgement is by a
     * process; called when only this process has them and it loses its disk. They may still be in a
     * total.
     */
    void excludeLostAdditions(String process) {
        for (Addition addition : additionById.values()) {
            addition.mustBeRetained &= !addition.acknowledgedBy.equals(process);
        }
    }

    /** The sum of the additions to a tally that one process has acknowledged, each counted once. */
    long acknowledgedBy(String process, String tally) {
        return acknowledgedByProcess.getOrDefault(process + tally, 0L);
    }

    /**
     * The sum of the additions to a tally that any process has acknowledged and that must not be
     * lost.
     */
    long acknowledged(String tally) {
        return sum(tally, true);
    }

    private long sum(String tally, boolean onlyRetained) {
        long sum = 0;
        for (Addition addition : additionById.values()) {
            boolean isRequired = addition.isAcknowledged && addition.mustBeRetained;
            if (addition.tally.equals(tally)
                    && (onlyRetained ? isRequired : addition.isPossiblyApplied())) {
                sum += addition.amount;
            }
        }
        return sum;
    }

    /**
     * Adds a violation if a total that was read is below the minimum or above the sum of all
     * additions to the tally that may have been applied.
     */
    void checkRead(String tally, long total, long minimum, String reader) {
        long maximum = sum(tally, false);
        if (total < minimum || total > maximum) {
            checker.addViolation(
                    "%s: %s is %d, not between %d and %d"
                            .formatted(reader, tally, total, minimum, maximum));
        }
    }
}
