package myrtleladder.controlplane.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What callers from outside have seen, and what of it contradicts a promise of the system. */
final class HistoryChecker {
    private static final int MOST = 5;

    private final List<String> faults = new ArrayList<>();
    private final Map<Long, String> acknowledged = new HashMap<>();
    private final Map<Long, String> baseTaken = new HashMap<>();
    private final Map<String, Long> orderOfBody = new HashMap<>();
    private final Set<String> refused = new HashSet<>();
    private final Set<String> inForce = new HashSet<>();
    private final Map<Long, String> primaryOfEpoch = new HashMap<>();
    private final Map<String, Long> departed = new HashMap<>();
    private long newest;
    private long lastAcknowledgedAt;
    private int acknowledgements;
    private int departures;

    List<String> faults() {
        return faults;
    }

    void fault(String what) {
        if (faults.size() < MOST) {
            faults.add(what);
        }
    }

    /** The highest generation that was acknowledged. */
    long newest() {
        return newest;
    }

    long lastAcknowledgedAt() {
        return lastAcknowledgedAt;
    }

    int acknowledgements() {
        return acknowledgements;
    }

    /** How many orders and departures were acknowledged. */
    int promises() {
        return acknowledgements + departures;
    }

    /** An order was sent for the first time. */
    void ordered(OperatorChange order) {
        orderOfBody.put(order.name(), order.generation());
    }

    /** An operator has an acknowledgement in hands. */
    void acknowledged(OperatorChange order, long now) {
        String other = acknowledged.putIfAbsent(order.generation(), order.name());
        if (other != null && !other.equals(order.name())) {
            fault("generation " + order.generation() + " acknowledged twice");
        }
        String onBase = baseTaken.putIfAbsent(order.match(), order.name());
        if (onBase != null && !onBase.equals(order.name())) {
            fault("two changes on generation " + order.match() + " acknowledged");
        }
        if (refused.contains(order.name())) {
            fault(order + " acknowledged after a refusal");
        }
        newest = Math.max(newest, order.generation());
        lastAcknowledgedAt = now;
        acknowledgements++;
    }

    /** An operator has a clear refusal in hands. */
    void refused(OperatorChange order, int status) {
        refused.add(order.name());
        if (inForce.contains(order.name())) {
            fault(order + " is in force and refused with " + status);
        }
    }

    /** Somebody was shown a configuration as the one in force. */
    void shown(String name, long generation, String where) {
        Long sent = orderOfBody.get(name);
        if (sent == null || sent != generation) {
            fault(where + " shows " + name + " under generation " + generation);
        }
        if (refused.contains(name)) {
            fault(where + " shows " + name + ", which was refused");
        }
        inForce.add(name);
    }

    /** A read or poll that was sent when {@code bound} was acknowledged was answered. */
    void notOlder(long generation, long bound, String where) {
        if (generation < bound) {
            fault(where + " answers generation " + generation + " after " + bound);
        }
    }

    /** A node leads an epoch. */
    void primary(long epoch, String address) {
        String before = primaryOfEpoch.putIfAbsent(epoch, address);
        if (before != null && !before.equals(address)) {
            fault("epoch " + epoch + " has " + before + " and " + address);
        }
    }

    /** An upstream has the acknowledgement of its departure in hands. */
    void departed(String instance, long now) {
        if (departed.putIfAbsent(instance, now) == null) {
            departures++;
        }
    }

    /** A balancer was told that an instance is ready, by a poll sent at the given time. */
    void shownReady(String instance, long sentAt, long allowance, String where) {
        Long at = departed.get(instance);
        if (at != null && sentAt > at + allowance) {
            fault(where + " shows " + instance + " ready, gone for " + (sentAt - at) + " ms");
        }
    }
}
