package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;

/**
 * The upstream instances that this node knows of, by heartbeats and from other nodes.
 *
 * <p>Invariants: a record only ever advances ({@link InstanceRecord#latest}), so that a departure
 * holds against any late heartbeat; each change that balancers have to learn of has a revision of
 * its own. Confined to the event loop.
 */
final class InstanceRegistry {
    /** How long the record of an instance that is not ready outlasts its last sign. Chosen. */
    private static final long RETENTION_MS = 60_000;

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long revision;

    private static final class Entry {
        final long firstSeenMs;
        InstanceRecord record;
        long revision;
        long lastSeenMs;

        Entry(long firstSeenMs) {
            this.firstSeenMs = firstSeenMs;
        }
    }

    /** The revision of the latest change; 0 before the first. */
    long revision() {
        return revision;
    }

    /** Merges a record into the one that is known; whether that changed anything. */
    boolean merge(InstanceRecord record, long nowMs) {
        Entry entry = entries.computeIfAbsent(record.id, id -> new Entry(nowMs));
        InstanceRecord before = entry.record;
        entry.lastSeenMs = nowMs;
        entry.record = before == null ? record : InstanceRecord.latest(before, record);
        if (!entry.record.differsFrom(before)) {
            return false;
        }
        markChanged(entry);
        return true;
    }

    private void markChanged(Entry entry) {
        revision++;
        entry.revision = revision;
    }

    /**
     * Merges the records of other nodes on becoming primary. Each instance counts as seen now and
     * none as lost: the node that took it for lost may have been partitioned.
     */
    void recover(Collection<InstanceRecord> records, long nowMs) {
        for (InstanceRecord record : records) {
            boolean isLost = record.stage == Stage.LOST;
            merge(isLost ? record.withStage(Stage.READY) : record, nowMs);
        }
        for (Entry entry : entries.values()) {
            entry.lastSeenMs = nowMs;
            if (entry.record.stage == Stage.LOST) {
                entry.record = entry.record.withStage(Stage.READY);
                markChanged(entry);
            }
        }
    }

    /** Takes all instances for seen now: this process was suspended and could not hear them. */
    void resetLastSeen(long nowMs) {
        entries.values().forEach(entry -> entry.lastSeenMs = nowMs);
    }

    /** The record of an instance, null if it is unknown. */
    InstanceRecord get(String id) {
        Entry entry = entries.get(id);
        return entry == null ? null : entry.record;
    }

    /** All records. */
    List<InstanceRecord> all() {
        return changedSince(0);
    }

    /** The records that changed after a revision. */
    List<InstanceRecord> changedSince(long knownRevision) {
        List<InstanceRecord> changed = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.revision > knownRevision) {
                changed.add(entry.record);
            }
        }
        return changed;
    }

    /** Assigns the ordinals that are due; the records of the instances that got one. */
    List<InstanceRecord> assignOrdinals(long nowMs) {
        List<OrdinalAssigner.KnownInstance> known = new ArrayList<>();
        for (Entry entry : entries.values()) {
            known.add(new OrdinalAssigner.KnownInstance(entry.record, entry.firstSeenMs));
        }
        List<InstanceRecord> assigned = OrdinalAssigner.assign(known, nowMs);
        for (InstanceRecord record : assigned) {
            Entry entry = entries.get(record.id);
            entry.record = record;
            markChanged(entry);
        }
        return assigned;
    }

    /**
     * Marks instances as lost, and draining ones as gone, that were not seen for the timeout;
     * whether there was any. Forgets those that have been away for long.
     */
    boolean expire(long nowMs, long timeoutMs) {
        entries.values().removeIf(entry -> isForgettable(entry, nowMs));
        boolean hasChanged = false;
        for (Entry entry : entries.values()) {
            if (nowMs - entry.lastSeenMs > timeoutMs && isAlive(entry.record)) {
                boolean isDraining = entry.record.stage == Stage.DRAINING;
                entry.record = entry.record.withStage(isDraining ? Stage.GONE : Stage.LOST);
                markChanged(entry);
                hasChanged = true;
            }
        }
        return hasChanged;
    }

    private static boolean isForgettable(Entry entry, long nowMs) {
        return entry.record.stage != Stage.READY && nowMs - entry.lastSeenMs > RETENTION_MS;
    }

    private static boolean isAlive(InstanceRecord record) {
        return record.stage == Stage.READY || record.stage == Stage.DRAINING;
    }
}
