package myrtleladder.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The members that the failure detector reports, and where they differ from the newest view of the
 * log. A change is a name with the process that holds it now, {@link #ABSENT} for none.
 */
final class ObservedMembership {
    /** Stands for a name that no process holds. */
    static final long ABSENT = 0;

    /**
     * Changes that a node reports to its leader, and that go into one view, so that they fit into a
     * datagram.
     */
    private static final int MAX_CHANGES = 8;

    private final ProcessId self;
    private final ReplicatedLog log;
    private final long stabilityUs;
    private final Map<String, Observation> observations = new TreeMap<>();

    /** Which process holds a name, and since when it was observed so. */
    private record Observation(long startId, long sinceUs) {}

    ObservedMembership(ProcessId self, ReplicatedLog log, long stabilityUs) {
        this.self = self;
        this.log = log;
        this.stabilityUs = stabilityUs;
    }

    /** Replaces the observed members, this process among them. */
    void update(long nowUs, Map<String, Long> present) {
        TreeSet<String> names = new TreeSet<>(present.keySet());
        names.addAll(observations.keySet());
        for (String name : names) {
            long startId = present.getOrDefault(name, ABSENT);
            Observation before = observations.get(name);
            if (before == null || before.startId() != startId) {
                observations.put(name, new Observation(startId, nowUs));
            }
        }
    }

    /** All other processes in the newest view of the log or observed as present. */
    List<ProcessId> peers() {
        List<ProcessId> peers = new ArrayList<>();
        log.view().startIds().forEach((name, startId) -> peers.add(new ProcessId(name, startId)));
        observations.forEach(
                (name, observation) -> {
                    ProcessId peer = new ProcessId(name, observation.startId());
                    if (observation.startId() != ABSENT && !peers.contains(peer)) {
                        peers.add(peer);
                    }
                });
        peers.remove(self);
        return peers;
    }

    /** Differences from the newest view of the log that were observed for long enough. */
    Map<String, Long> stableChanges(long nowUs) {
        Map<String, Long> changes = new TreeMap<>();
        View members = log.view();
        observations.forEach(
                (name, observation) -> {
                    long inView = members.startIds().getOrDefault(name, ABSENT);
                    if (observation.startId() != inView
                            && nowUs - observation.sinceUs() >= stabilityUs
                            && changes.size() < MAX_CHANGES) {
                        changes.put(name, observation.startId());
                    }
                });
        return changes;
    }
}
