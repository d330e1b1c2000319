package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import myrtleladder.protocol.InstanceRecord;

/**
 * Which ordinals instances get. A new instance waits a moment for one of its service and zone to
 * leave and takes over that one's ordinal, so that what was placed there has one successor; if none
 * leaves, it gets the least ordinal that is free. An ordinal once assigned is kept until the
 * instance has left.
 */
final class OrdinalAssignment {
    private static final long WAIT_FOR_PREDECESSOR = 5_000;

    private OrdinalAssignment() {}

    /** An instance and when it was first heard of. */
    record Holder(InstanceRecord record, long knownSince) {}

    /** Service and zone. */
    private record Group(String service, String zone) {
        static Group of(InstanceRecord record) {
            return new Group(record.service, record.zone);
        }
    }

    /** The records that get an ordinal now, with it. */
    static List<InstanceRecord> assign(List<Holder> holders, long now) {
        if (holders.stream().noneMatch(OrdinalAssignment::waits)) {
            return List.of();
        }
        Map<String, Set<Integer>> held = heldByService(holders);
        Map<Group, TreeSet<Integer>> vacant = vacantByGroup(holders, held);
        List<InstanceRecord> assigned = new ArrayList<>();
        for (Holder holder : holders) {
            if (!waits(holder)) {
                continue;
            }
            InstanceRecord record = holder.record();
            Integer inherited = vacant.getOrDefault(Group.of(record), new TreeSet<>()).pollFirst();
            boolean waitedEnough = now - holder.knownSince() >= WAIT_FOR_PREDECESSOR;
            if (inherited == null && !waitedEnough) {
                continue;
            }
            Set<Integer> ofService = held.computeIfAbsent(record.service, s -> new HashSet<>());
            int ordinal = inherited == null ? leastFree(ofService, record, vacant) : inherited;
            ofService.add(ordinal);
            assigned.add(record.withOrdinal(ordinal));
        }
        return assigned;
    }

    private static boolean waits(Holder holder) {
        InstanceRecord record = holder.record();
        return !record.isLeaving() && record.ordinal == InstanceRecord.UNASSIGNED_ORDINAL;
    }

    private static Map<String, Set<Integer>> heldByService(List<Holder> holders) {
        Map<String, Set<Integer>> held = new HashMap<>();
        for (Holder holder : holders) {
            InstanceRecord record = holder.record();
            if (!record.isLeaving() && record.ordinal != InstanceRecord.UNASSIGNED_ORDINAL) {
                held.computeIfAbsent(record.service, s -> new HashSet<>()).add(record.ordinal);
            }
        }
        return held;
    }

    /** Ordinals of instances that leave or have left, as far as nobody has taken them over. */
    private static Map<Group, TreeSet<Integer>> vacantByGroup(
            List<Holder> holders, Map<String, Set<Integer>> held) {
        Map<Group, TreeSet<Integer>> vacant = new HashMap<>();
        for (Holder holder : holders) {
            InstanceRecord record = holder.record();
            boolean taken = held.getOrDefault(record.service, Set.of()).contains(record.ordinal);
            if (record.isLeaving()
                    && record.ordinal != InstanceRecord.UNASSIGNED_ORDINAL
                    && !taken) {
                vacant.computeIfAbsent(Group.of(record), g -> new TreeSet<>()).add(record.ordinal);
            }
        }
        return vacant;
    }

    /** The least ordinal that nobody of the service holds and that waits for no successor. */
    private static int leastFree(
            Set<Integer> held, InstanceRecord record, Map<Group, TreeSet<Integer>> vacant) {
        Set<Integer> awaited = new HashSet<>();
        vacant.forEach(
                (group, ordinals) -> {
                    if (group.service().equals(record.service)) {
                        awaited.addAll(ordinals);
                    }
                });
        int ordinal = InstanceRecord.UNASSIGNED_ORDINAL + 1;
        while (held.contains(ordinal) || awaited.contains(ordinal)) {
            ordinal++;
        }
        return ordinal;
    }
}
