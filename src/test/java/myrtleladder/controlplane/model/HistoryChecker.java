package myrtleladder.controlplane.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records the responses that external clients receive and reports violated invariants of the
 * control plane.
 */
final class HistoryChecker {
    private static final int MAX_VIOLATIONS = 5;

    private final List<String> violations = new ArrayList<>();
    private final Map<Long, String> changeByGeneration = new HashMap<>();
    private final Map<Long, String> changeByBase = new HashMap<>();
    private final Map<String, Long> generationByChange = new HashMap<>();
    private final Set<String> rejectedChanges = new HashSet<>();
    private final Set<String> observedChanges = new HashSet<>();
    private final Map<Long, String> primaryByEpoch = new HashMap<>();
    private final Map<String, Long> departedAtMs = new HashMap<>();
    private final Map<String, Long> drainedAtMs = new HashMap<>();
    private final Map<String, Long> restoredAtMs = new HashMap<>();
    private long newestAcknowledgedGeneration;
    private long lastAcknowledgedAtMs;
    private int acknowledgementCount;
    private int departureCount;
    private int drainCount;

    /** The first violations as text, {@value #MAX_VIOLATIONS} at most. */
    List<String> violations() {
        return violations;
    }

    /** Adds a violation found by the caller. */
    void addViolation(String description) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(description);
        }
    }

    /** The highest acknowledged generation. */
    long newestAcknowledgedGeneration() {
        return newestAcknowledgedGeneration;
    }

    /** When the last change was acknowledged. */
    long lastAcknowledgedAtMs() {
        return lastAcknowledgedAtMs;
    }

    /** How many acknowledgements of changes the operators received. */
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

    /** Records the first attempt to send a change. */
    void recordSent(OperatorChange change) {
        generationByChange.put(change.name(), change.generation());
    }

    /** Records that an operator received an acknowledgement. */
    void recordAcknowledged(OperatorChange change, long nowMs) {
        String other = changeByGeneration.putIfAbsent(change.generation(), change.name());
        if (other != null && !other.equals(change.name())) {
            addViolation("generation " + change.generation() + " was acknowledged for two changes");
        }
        String sameBase = changeByBase.putIfAbsent(change.base(), change.name());
        if (sameBase != null && !sameBase.equals(change.name())) {
            addViolation("two changes on generation " + change.base() + " were acknowledged");
        }
        if (rejectedChanges.contains(change.name())) {
            addViolation(change + " was acknowledged after a rejection");
        }
        newestAcknowledgedGeneration = Math.max(newestAcknowledgedGeneration, change.generation());
        lastAcknowledgedAtMs = nowMs;
        acknowledgementCount++;
    }

    /** Whether an operator received an acknowledgement of the change that made a document. */
    boolean isAcknowledged(long generation, byte[] document) {
        String acknowledged = changeByGeneration.get(generation);
        return acknowledged != null && acknowledged.equals(OperatorChange.nameIn(document));
    }

    /** Records that an operator received a rejection. */
    void recordRejected(OperatorChange change, int status) {
        rejectedChanges.add(change.name());
        if (observedChanges.contains(change.name())) {
            addViolation(change + " was observed and then rejected with " + status);
        }
    }

    /** Checks a configuration that a node returned as the current one. */
    void checkObservedChange(String change, long generation, String observer) {
        Long sentGeneration = generationByChange.get(change);
        if (sentGeneration == null || sentGeneration != generation) {
            addViolation(observer + " returned " + change + " as generation " + generation);
        }
        if (rejectedChanges.contains(change)) {
            addViolation(observer + " returned " + change + ", which was rejected");
        }
        observedChanges.add(change);
    }

    /** Checks that a response is not older than the acknowledgements before its request. */
    void checkNotOlder(long generation, long minGeneration, String observer) {
        if (generation < minGeneration) {
            addViolation(
                    observer + " returned generation " + generation + " after " + minGeneration);
        }
    }

    /** Records the primary of an epoch and checks that the epoch has no other. */
    void recordPrimary(long epoch, String address) {
        String known = primaryByEpoch.putIfAbsent(epoch, address);
        if (known != null && !known.equals(address)) {
            addViolation("epoch " + epoch + " has primaries " + known + " and " + address);
        }
    }

    /** Records that an upstream received the acknowledgement of its departure. */
    void recordDeparted(String instance, long nowMs) {
        if (departedAtMs.putIfAbsent(instance, nowMs) == null) {
            departureCount++;
        }
    }

    /** Checks an instance that the response to a poll, sent at the given time, lists as ready. */
    void checkObservedReady(String instance, long sentAtMs, long allowanceMs, String observer) {
        Long departedMs = departedAtMs.get(instance);
        if (departedMs != null && sentAtMs > departedMs + allowanceMs) {
            addViolation(
                    observer
                            + " lists "
                            + instance
                            + " as ready, although it departed "
                            + (sentAtMs - departedMs)
                            + " ms before the poll");
        }
    }

    /** Records that an operator received the acknowledgement that a zone is drained. */
    void recordDrained(String zone, long nowMs) {
        drainedAtMs.put(zone, nowMs);
        drainCount++;
    }

    /** Records that the restoration of a zone is requested: now it may be drained or not. */
    void recordRestoreSent(String zone) {
        drainedAtMs.remove(zone);
    }

    /** Records that an operator received the acknowledgement that a zone is restored. */
    void recordRestored(String zone, long nowMs) {
        restoredAtMs.put(zone, nowMs);
    }

    /** Checks the drained zones in the response to a poll that was sent at the given time. */
    void checkDrainedZones(
            List<String> observedZones, long sentAtMs, long allowanceMs, String observer) {
        drainedAtMs.forEach(
                (zone, drainedMs) -> {
                    if (sentAtMs > drainedMs + allowanceMs && !observedZones.contains(zone)) {
                        addViolation(
                                observer
                                        + " lists drained zones "
                                        + observedZones
                                        + " without "
                                        + zone);
                    }
                });
        for (String zone : observedZones) {
            Long restoredMs = restoredAtMs.get(zone);
            if (restoredMs != null && sentAtMs > restoredMs + allowanceMs) {
                addViolation(observer + " lists " + zone + " as drained, although it was restored");
            }
        }
    }
}
