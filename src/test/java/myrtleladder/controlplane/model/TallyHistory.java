package myrtleladder.controlplane.model;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Records the additions that clients sent and how they were answered, and checks the totals that
 * are read: not less than what was acknowledged, not more than what may have been applied.
 */
final class TallyHistory {
    private final HistoryChecker checker;
    private final Map<String, Addition> additionById = new LinkedHashMap<>();
    private final Map<String, Long> acknowledgedByProcess = new HashMap<>();
    private final Set<String> countedByProcess = new HashSet<>();

    /** An addition with all attempts to make it. */
    private static final class Addition {
        private final String tally;
        private final long amount;
        private int openAttempts;
        private boolean isUncertain;
        private boolean isAcknowledged;
        private boolean isOwed = true;
        private String acknowledgedBy = "";

        Addition(String tally, long amount) {
            this.tally = tally;
            this.amount = amount;
        }

        boolean isPossiblyApplied() {
            return openAttempts > 0 || isUncertain || isAcknowledged;
        }
    }

    TallyHistory(HistoryChecker checker) {
        this.checker = checker;
    }

    /** Records an attempt to add. */
    void recordSent(String tally, String id, long amount) {
        additionById.computeIfAbsent(id, i -> new Addition(tally, amount)).openAttempts++;
    }

    /** Records that an attempt was refused with the promise that nothing was done. */
    void recordRefused(String id) {
        additionById.get(id).openAttempts--;
    }

    /** Records that the outcome of an attempt is not known. */
    void recordUncertain(String id) {
        additionById.get(id).openAttempts--;
        additionById.get(id).isUncertain = true;
    }

    /** Records an acknowledgement by a process. */
    void recordAcknowledged(String id, String process) {
        Addition addition = additionById.get(id);
        addition.openAttempts--;
        addition.isAcknowledged = true;
        addition.acknowledgedBy = process;
        if (countedByProcess.add(process + id)) {
            acknowledgedByProcess.merge(process + addition.tally, addition.amount, Long::sum);
        }
    }

    /** Frees from what a process acknowledged in a cut, as it lost its disk before the merge. */
    void forgive(String process) {
        for (Addition addition : additionById.values()) {
            addition.isOwed &= !addition.acknowledgedBy.equals(process);
        }
    }

    /** The sum of what one process has acknowledged. */
    long acknowledgedBy(String process, String tally) {
        return acknowledgedByProcess.getOrDefault(process + tally, 0L);
    }

    /** The sum of what was acknowledged anywhere and has to be kept. */
    long acknowledged(String tally) {
        return sum(tally, true);
    }

    private long sum(String tally, boolean isOwedOnly) {
        long sum = 0;
        for (Addition addition : additionById.values()) {
            boolean isOwed = addition.isAcknowledged && addition.isOwed;
            if (addition.tally.equals(tally)
                    && (isOwedOnly ? isOwed : addition.isPossiblyApplied())) {
                sum += addition.amount;
            }
        }
        return sum;
    }

    /** Checks a total that was read. */
    void checkRead(String tally, long total, long minimum, String reader) {
        long maximum = sum(tally, false);
        if (total < minimum || total > maximum) {
            checker.addViolation(
                    "%s: %s is %d, not from %d to %d"
                            .formatted(reader, tally, total, minimum, maximum));
        }
    }
}
