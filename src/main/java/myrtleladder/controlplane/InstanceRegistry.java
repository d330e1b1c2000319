package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;

/**
 * The upstream instances that this node knows from heartbeats and from other nodes.
 *
 * <p>Invariants: a record only moves forward ({@link InstanceRecord#latest}), so that a late
 * heartbeat cannot undo a departure; each change that balancers must receive has its own revision.
 * Records are stored as reported; the remaining warm-up time is calculated for the time that the
 * caller passes. Confined to the event loop.
 */
final class InstanceRegistry {
    /** How long the record of an instance that is not ready is retained after it was last seen. */
    private static final long RETENTION_MS = 60_000;

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long revision;

    /** The latest record of an instance, its warm-up, and when it was first and last seen. */
    private static final class Entry {
        final long firstSeenMs;
        final WarmupDeadline warmup = new WarmupDeadline();
        InstanceRecord record;
        long revision;
        long lastSeenMs;

        Entry(long firstSeenMs) {
            this.firstSeenMs = firstSeenMs;
        }

        /**
         * Merges the remaining warm-up of a record unless a later heartbeat is known. Returns
         * whether balancers must receive the change.
         */
        boolean mergeWarmup(InstanceRecord reported, long nowMs) {
            long knownSequence = record == null ? Long.MIN_VALUE : record.heartbeatSequence;
            if (reported.heartbeatSequence > knownSequence) {
                return warmup.update(reported.warmupLeftMs(), nowMs);
            }
            return reported.heartbeatSequence == knownSequence
                    && warmup.extend(reported.warmupLeftMs(), nowMs);
        }

        /** Returns the record with the remaining warm-up time at {@code nowMs}. */
        InstanceRecord recordAsOf(long nowMs) {
            return record.withWarmupLeftMs(warmup.remainingMs(nowMs));
        }
    }

    /** Returns the revision of the latest change, 0 if there was none. */
    long revision() {
        return revision;
    }

    /** Merges a record into the known one. Returns whether balancers must receive the change. */
    boolean merge(InstanceRecord record, long nowMs) {
        Entry entry = entries.computeIfAbsent(record.id, id -> new Entry(nowMs));
        InstanceRecord previous = entry.record;
        boolean hasNewWarmup = entry.mergeWarmup(record, nowMs);
        entry.lastSeenMs = nowMs;
        entry.record = previous == null ? record : InstanceRecord.latest(previous, record);
        if (!hasNewWarmup && !entry.record.differsFrom(previous)) {
            return false;
        }
        markChanged(entry);
        return true;
    }

    /**
     * Assumes that all ready instances of a zone are cold until their next heartbeat, but for no
     * longer than the duration. Returns the records of the instances for which this is a change.
     *
     * @param zone a zone whose drain was cancelled; its instances may have become cold in the
     *     meantime
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
     * Assumes that ready instances without a recent heartbeat are cold until their next heartbeat,
     * but for no longer than the duration, since they may have crashed and restart cold. Returns
     * whether any instance changed.
     */
    boolean assumeColdWithoutHeartbeat(long maxHeartbeatGapMs, long durationMs, long nowMs) {
        boolean hasChanged = false;
        for (Entry entry : entries.values()) {
            boolean isHeartbeatMissing =
                    nowMs - entry.lastSeenMs > maxHeartbeatGapMs && isReady(entry.record);
            boolean isWarm = entry.warmup.remainingMs(nowMs) == 0;
            if (isHeartbeatMissing && isWarm && entry.warmup.extend(durationMs, nowMs)) {
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
     * Merges the records of other nodes when this node becomes primary. Each instance counts as
     * seen now, and lost instances become ready again, since the node that marked them as lost may
     * have been partitioned.
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

    /**
     * Marks all instances as seen now, after this process was suspended and could not receive
     * heartbeats.
     */
    void resetLastSeen(long nowMs) {
        entries.values().forEach(entry -> entry.lastSeenMs = nowMs);
    }

    /** Returns the record of an instance as it was reported, or null if the instance is unknown. */
    InstanceRecord reportedRecord(String id) {
        Entry entry = entries.get(id);
        return entry == null ? null : entry.record;
    }

    /** Returns the record of a known instance with its remaining warm-up time at {@code nowMs}. */
    InstanceRecord recordAsOf(String id, long nowMs) {
        return entries.get(id).recordAsOf(nowMs);
    }

    /** Returns all records as they were reported. */
    List<InstanceRecord> reportedRecords() {
        return changedSince(0);
    }

    /** Returns all records with their remaining warm-up times at {@code nowMs}. */
    List<InstanceRecord> recordsAsOf(long nowMs) {
        return changedSince(0, nowMs);
    }

    /** Returns the records that changed after a revision, as they were reported. */
    List<InstanceRecord> changedSince(long knownRevision) {
        return entriesChangedSince(knownRevision).stream().map(entry -> entry.record).toList();
    }

    /**
     * Returns the records that changed after a revision, with their remaining warm-up times at
     * {@code nowMs}.
     */
    List<InstanceRecord> changedSince(long knownRevision, long nowMs) {
        return entriesChangedSince(knownRevision).stream()
                .map(entry -> entry.recordAsOf(nowMs))
                .toList();
    }

    private List<Entry> entriesChangedSince(long knownRevision) {
        return entries.values().stream().filter(entry -> entry.revision > knownRevision).toList();
    }

    /**
     * Assigns the ordinals that are due. Returns the records of the instances that received one.
     */
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
     * Marks instances that were not seen for longer than the timeout as lost, or as gone if they
     * were draining, and removes the records whose retention time is over. Returns whether any
     * instance was marked.
     */
    boolean expire(long nowMs, long timeoutMs) {
        entries.values().removeIf(entry -> isRetentionOver(entry, nowMs));
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

    private static boolean isRetentionOver(Entry entry, long nowMs) {
        return entry.record.stage != Stage.READY && nowMs - entry.lastSeenMs > RETENTION_MS;
    }

    private static boolean isAlive(InstanceRecord record) {
        return isReady(record) || record.stage == Stage.DRAINING;
    }
}
