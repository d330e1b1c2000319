package myrtleladder.controlplane.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records what external clients have seen, and reports what of it violates an invariant of the
 * control plane.
 */
final class HistoryChecker {
    private static final int MAX_VIOLATIONS = 5;

    private final List<String> violations = new ArrayList<>();
    private final Map<Long, String> changeByGeneration = new HashMap<>();
    private final Map<Long, String> changeByBase = new HashMap<>();
    private final Map<String, Long> generationByChange = new HashMap<>();
    private final Set<String> rejectedChanges = new HashSet<>();
    private final Set<String> shownChanges = new HashSet<>();
    private final Map<Long, String> primaryByEpoch = new HashMap<>();
    private final Map<String, Long> departedAtMs = new HashMap<>();
    private final Map<String, Long> drainedAtMs = new HashMap<>();
    private final Map<String, Long> takenBackAtMs = new HashMap<>();
    private long newestAcknowledged;
    private long lastAcknowledgedAtMs;
    private int acknowledgementCount;
    private int departureCount;
    private int drainCount;

    /** The first violations, in plain text. */
    List<String> violations() {
        return violations;
    }

    /** Adds a violation that the caller has found. */
    void addViolation(String description) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(description);
        }
    }

    /** The highest generation that was acknowledged. */
    long newestAcknowledged() {
        return newestAcknowledged;
    }

    /** When the last change was acknowledged. */
    long lastAcknowledgedAtMs() {
        return lastAcknowledgedAtMs;
    }

    /** How many acknowledgements of changes operators have received. */
    int acknowledgementCount() {
        return acknowledgementCount;
    }

    /** How many acknowledgements of changes, and of departures, were received. */
    int commitmentCount() {
        return acknowledgementCount + departureCount;
    }

    /** How many acknowledgements of drained zones were received. */
    int drainCount() {
        return drainCount;
    }

    /** Records that a change is sent for the first time. */
    void recordSent(OperatorChange change) {
        generationByChange.put(change.name(), change.generation());
    }

    /** Records that an operator has received an acknowledgement. */
    void recordAcknowledged(OperatorChange change, long nowMs) {
        String other = changeByGeneration.putIfAbsent(change.generation(), change.name());
        if (other != null && !other.equals(change.name())) {
            addViolation("generation " + change.generation() + " acknowledged twice");
        }
        String sameBase = changeByBase.putIfAbsent(change.base(), change.name());
        if (sameBase != null && !sameBase.equals(change.name())) {
            addViolation("two changes on generation " + change.base() + " acknowledged");
        }
        if (rejectedChanges.contains(change.name())) {
            addViolation(change + " acknowledged after a refusal");
        }
        newestAcknowledged = Math.max(newestAcknowledged, change.generation());
        lastAcknowledgedAtMs = nowMs;
        acknowledgementCount++;
    }

    /** Records that an operator has received a rejection. */
    void recordRejected(OperatorChange change, int status) {
        rejectedChanges.add(change.name());
        if (shownChanges.contains(change.name())) {
            addViolation(change + " is in force and refused with " + status);
        }
    }

    /** Checks a configuration that was shown as the one in force. */
    void checkShown(String change, long generation, String where) {
        Long sentGeneration = generationByChange.get(change);
        if (sentGeneration == null || sentGeneration != generation) {
            addViolation(where + " shows " + change + " under generation " + generation);
        }
        if (rejectedChanges.contains(change)) {
            addViolation(where + " shows " + change + ", which was refused");
        }
        shownChanges.add(change);
    }

    /** Checks that a response is not older than what was acknowledged before its request. */
    void checkNotOlder(long generation, long minGeneration, String where) {
        if (generation < minGeneration) {
            addViolation(where + " answers generation " + generation + " after " + minGeneration);
        }
    }

    /** Records that a node leads an epoch, and checks that no other does. */
    void recordPrimary(long epoch, String address) {
        String known = primaryByEpoch.putIfAbsent(epoch, address);
        if (known != null && !known.equals(address)) {
            addViolation("epoch " + epoch + " has " + known + " and " + address);
        }
    }

    /** Records that an upstream has received the acknowledgement of its departure. */
    void recordDeparted(String instance, long nowMs) {
        if (departedAtMs.putIfAbsent(instance, nowMs) == null) {
            departureCount++;
        }
    }

    /** Checks an instance that a poll, sent at the given time, showed as ready. */
    void checkShownReady(String instance, long sentAtMs, long allowanceMs, String where) {
        Long departedMs = departedAtMs.get(instance);
        if (departedMs != null && sentAtMs > departedMs + allowanceMs) {
            addViolation(
                    where
                            + " shows "
                            + instance
                            + " ready, gone for "
                            + (sentAtMs - departedMs)
                            + " ms");
        }
    }

    /** Records that an operator has received the acknowledgement that a zone is drained. */
    void recordDrained(String zone, long nowMs) {
        drainedAtMs.put(zone, nowMs);
        drainCount++;
    }

    /** Records that a zone is ordered to be taken back: from now on it may be drained or not. */
    void recordTakeBackSent(String zone) {
        drainedAtMs.remove(zone);
    }

    /** Records that an operator has received the acknowledgement that a zone is taken back. */
    void recordTakenBack(String zone, long nowMs) {
        takenBackAtMs.put(zone, nowMs);
    }

    /** Checks the drained zones that the response to a poll, sent at the given time, showed. */
    void checkDrainedZones(List<String> shown, long sentAtMs, long allowanceMs, String where) {
        drainedAtMs.forEach(
                (zone, drainedMs) -> {
                    if (sentAtMs > drainedMs + allowanceMs && !shown.contains(zone)) {
                        addViolation(where + " shows " + shown + " without " + zone);
                    }
                });
        for (String zone : shown) {
            Long takenBackMs = takenBackAtMs.get(zone);
            if (takenBackMs != null && sentAtMs > takenBackMs + allowanceMs) {
                addViolation(where + " shows " + zone + ", which was taken back");
            }
        }
    }
}
