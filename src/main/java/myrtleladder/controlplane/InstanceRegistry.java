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
 * its own. A record is kept as it was reported; what is left of its warm-up is told as of the time
 * that a caller names. Confined to the event loop.
 */
final class InstanceRegistry {
    /** How long the record of an instance that is not ready outlasts its last sign. */
    private static final long RETENTION_MS = 60_000;

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long revision;

    private static final class Entry {
        final long firstSeenMs;
        final WarmupDeadline warmup = new WarmupDeadline();
        InstanceRecord record;
        long revision;
        long lastSeenMs;

        Entry(long firstSeenMs) {
            this.firstSeenMs = firstSeenMs;
        }

        /** Takes the warm-up of a record unless a later heartbeat is known; whether it is news. */
        boolean mergeWarmup(InstanceRecord reported, long nowMs) {
            long knownSequence = record == null ? Long.MIN_VALUE : record.heartbeatSequence;
            if (reported.heartbeatSequence > knownSequence) {
                return warmup.replace(reported.warmupLeftMs(), nowMs);
            }
            return reported.heartbeatSequence == knownSequence
                    && warmup.extend(reported.warmupLeftMs(), nowMs);
        }

        InstanceRecord recordAsOf(long nowMs) {
            return record.withWarmupLeftMs(warmup.remainingMs(nowMs));
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
        boolean hasNewWarmup = entry.mergeWarmup(record, nowMs);
        entry.lastSeenMs = nowMs;
        entry.record = before == null ? record : InstanceRecord.latest(before, record);
        if (!hasNewWarmup && !entry.record.differsFrom(before)) {
            return false;
        }
        markChanged(entry);
        return true;
    }

    /**
     * Takes all instances of a zone that are ready for cold until their next heartbeat, for a time
     * at the longest; the records of those that were not known to be.
     *
     * @param zone a zone whose evacuation was withdrawn: its instances may have become cold
     */
    List<InstanceRecord> assumeCold(String zone, long durationMs, long nowMs) {
        List<InstanceRecord> assumed = new ArrayList<>();
        for (Entry entry : entries.values()) {
            boolean isAffected = entry.record.zone.equals(zone) && isReady(entry.record);
            if (isAffected && entry.warmup.extend(durationMs, nowMs)) {
                markChanged(entry);
                assumed.add(entry.recordAsOf(nowMs));
            }
        }
        return assumed;
    }

    /**
     * Takes ready instances that were silent for a time for cold until their next heartbeat, for a
     * time at the longest: they may be down and come back cold. Whether there was any.
     */
    boolean assumeSilentAreCold(long silenceMs, long durationMs, long nowMs) {
        boolean hasChanged = false;
        for (Entry entry : entries.values()) {
            boolean isSilent = nowMs - entry.lastSeenMs > silenceMs && isReady(entry.record);
            boolean isWarm = entry.warmup.remainingMs(nowMs) == 0;
            if (isSilent && isWarm && entry.warmup.extend(durationMs, nowMs)) {
                markChanged(entry);
                hasChanged = true;
            }
        }
        return hasChanged;
    }

    private static boolean isReady(InstanceRecord record) {
        return record.stage == Stage.READY;
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

    /** The record of a known instance, with what is left of its warm-up now. */
    InstanceRecord get(String id, long nowMs) {
        return entries.get(id).recordAsOf(nowMs);
    }

    /** All records, as they were reported. */
    List<InstanceRecord> all() {
        return changedSince(0);
    }

    /** All records, with what is left of their warm-ups now. */
    List<InstanceRecord> all(long nowMs) {
        return changedSince(0, nowMs);
    }

    /** The records that changed after a revision, as they were reported. */
    List<InstanceRecord> changedSince(long knownRevision) {
        return entriesSince(knownRevision).stream().map(entry -> entry.record).toList();
    }

    /** The records that changed after a revision, with what is left of their warm-ups now. */
    List<InstanceRecord> changedSince(long knownRevision, long nowMs) {
        return entriesSince(knownRevision).stream().map(entry -> entry.recordAsOf(nowMs)).toList();
    }

    private List<Entry> entriesSince(long knownRevision) {
        return entries.values().stream().filter(entry -> entry.revision > knownRevision).toList();
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
        return isReady(record) || record.stage == Stage.DRAINING;
    }
}
