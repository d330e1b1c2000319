package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;
import myrtleladder.protocol.InstanceRecord;

/**
 * Assigns ordinals to instances. A new instance first waits for an instance of the same service and
 * zone to leave and inherits its ordinal, so that the requests that are routed by this ordinal move
 * to a single new instance. If none leaves, the new instance gets the lowest free ordinal. An
 * instance keeps its ordinal until it has left.
 *
 * <p>Stateless.
 */
final class OrdinalAssigner {
    /** How long a new instance waits for an instance of its service and zone to leave. */
    private static final long PREDECESSOR_WAIT_MS = 5_000;

    private static final int FIRST_ORDINAL = InstanceRecord.UNASSIGNED_ORDINAL + 1;

    private OrdinalAssigner() {}

    /**
     * An instance of the registry.
     *
     * @param firstSeenMs when the registry first received a record of the instance, in milliseconds
     */
    record KnownInstance(InstanceRecord record, long firstSeenMs) {
        private boolean needsOrdinal() {
            return !record.isLeaving() && !hasOrdinal();
        }

        private boolean hasOrdinal() {
            return record.ordinal != InstanceRecord.UNASSIGNED_ORDINAL;
        }
    }

    /** Identifies the group of instances within which ordinals are inherited. */
    private record ServiceInZone(String service, String zone) {
        static ServiceInZone of(InstanceRecord record) {
            return new ServiceInZone(record.service, record.zone);
        }
    }

    /** Returns the records of the instances that receive an ordinal now, with the ordinal set. */
    static List<InstanceRecord> assign(List<KnownInstance> instances, long nowMs) {
        if (instances.stream().noneMatch(KnownInstance::needsOrdinal)) {
            return List.of();
        }
        Map<String, Set<Integer>> used = usedByService(instances);
        Map<ServiceInZone, NavigableSet<Integer>> vacant = vacantByZone(instances, used);
        List<InstanceRecord> assigned = new ArrayList<>();
        for (KnownInstance instance : instances) {
            if (!instance.needsOrdinal()) {
                continue;
            }
            InstanceRecord record = instance.record();
            Integer inherited =
                    vacant.getOrDefault(ServiceInZone.of(record), new TreeSet<>()).pollFirst();
            boolean hasWaited = nowMs - instance.firstSeenMs() >= PREDECESSOR_WAIT_MS;
            if (inherited == null && !hasWaited) {
                continue;
            }
            Set<Integer> usedInService =
                    used.computeIfAbsent(record.service, service -> new HashSet<>());
            int ordinal =
                    inherited == null
                            ? lowestFreeOrdinal(usedInService, vacantIn(record.service, vacant))
                            : inherited;
            usedInService.add(ordinal);
            assigned.add(record.withOrdinal(ordinal));
        }
        return assigned;
    }

    private static Map<String, Set<Integer>> usedByService(List<KnownInstance> instances) {
        Map<String, Set<Integer>> used = new HashMap<>();
        for (KnownInstance instance : instances) {
            InstanceRecord record = instance.record();
            if (!record.isLeaving() && instance.hasOrdinal()) {
                used.computeIfAbsent(record.service, service -> new HashSet<>())
                        .add(record.ordinal);
            }
        }
        return used;
    }

    /**
     * Returns the ordinals of leaving and departed instances that no other instance has inherited.
     */
    private static Map<ServiceInZone, NavigableSet<Integer>> vacantByZone(
            List<KnownInstance> instances, Map<String, Set<Integer>> used) {
        Map<ServiceInZone, NavigableSet<Integer>> vacant = new HashMap<>();
        for (KnownInstance instance : instances) {
            InstanceRecord record = instance.record();
            boolean isUsed = used.getOrDefault(record.service, Set.of()).contains(record.ordinal);
            if (record.isLeaving() && instance.hasOrdinal() && !isUsed) {
                vacant.computeIfAbsent(ServiceInZone.of(record), zone -> new TreeSet<>())
                        .add(record.ordinal);
            }
        }
        return vacant;
    }

    private static Set<Integer> vacantIn(
            String service, Map<ServiceInZone, NavigableSet<Integer>> vacantByZone) {
        Set<Integer> vacant = new HashSet<>();
        vacantByZone.forEach(
                (zone, ordinals) -> {
                    if (zone.service().equals(service)) {
                        vacant.addAll(ordinals);
                    }
                });
        return vacant;
    }

    /** Returns the lowest ordinal of a service that is neither in use nor vacant. */
    private static int lowestFreeOrdinal(Set<Integer> used, Set<Integer> vacant) {
        int ordinal = FIRST_ORDINAL;
        while (used.contains(ordinal) || vacant.contains(ordinal)) {
            ordinal++;
        }
        return ordinal;
    }
}
