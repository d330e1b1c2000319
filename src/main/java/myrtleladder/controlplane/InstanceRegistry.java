package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;

/**
 * The upstreams that heartbeats tell of. Each change has a revision; what is gone is kept for a
 * while.
 */
final class InstanceRegistry {
    private static final long KEEP_GONE = 60_000;

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long revision;

    private static final class Entry {
        InstanceRecord record;
        long revision;
        long heardAt;
        long knownSince;
    }

    long revision() {
        return revision;
    }

    /** Takes a record; whether it tells something new. */
    boolean take(InstanceRecord record, long now) {
        Entry entry = entries.computeIfAbsent(record.id, id -> new Entry());
        InstanceRecord before = entry.record;
        entry.knownSince = before == null ? now : entry.knownSince;
        InstanceRecord after = before == null ? record : InstanceRecord.latest(before, record);
        entry.heardAt = now;
        entry.record = after;
        if (after.differsFrom(before)) {
            entry.revision = ++revision;
            return true;
        }
        return false;
    }

    /**
     * Takes what other nodes knew; each counts as heard now, and none as lost: who said so may have
     * been cut off.
     */
    void inherit(Collection<InstanceRecord> records, long now) {
        records.forEach(r -> take(r.stage == Stage.LOST ? r.withStage(Stage.READY) : r, now));
        for (Entry entry : entries.values()) {
            entry.heardAt = now;
            if (entry.record.stage == Stage.LOST) {
                entry.record = entry.record.withStage(Stage.READY);
                entry.revision = ++revision;
            }
        }
    }

    /** Forgives the silence so far: this process stood still. */
    void forgive(long now) {
        entries.values().forEach(e -> e.heardAt = now);
    }

    InstanceRecord get(String id) {
        Entry entry = entries.get(id);
        return entry == null ? null : entry.record;
    }

    List<InstanceRecord> all() {
        return since(0);
    }

    List<InstanceRecord> since(long known) {
        List<InstanceRecord> changed = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.revision > known) {
                changed.add(entry.record);
            }
        }
        return changed;
    }

    /** Gives ordinals to instances that have none, as far as that is due; those that got one. */
    List<InstanceRecord> assignOrdinals(long now) {
        List<OrdinalAssignment.Holder> holders = new ArrayList<>();
        for (Entry entry : entries.values()) {
            holders.add(new OrdinalAssignment.Holder(entry.record, entry.knownSince));
        }
        List<InstanceRecord> assigned = OrdinalAssignment.assign(holders, now);
        for (InstanceRecord record : assigned) {
            Entry entry = entries.get(record.id);
            entry.record = record;
            entry.revision = ++revision;
        }
        return assigned;
    }

    /** Takes upstreams for lost that have been silent for too long; whether any was. */
    boolean expire(long now, long longestSilence) {
        boolean changed = false;
        entries.values()
                .removeIf(e -> !e.record.stage.equals(Stage.READY) && now - e.heardAt > KEEP_GONE);
        for (Entry entry : entries.values()) {
            boolean silent = now - entry.heardAt > longestSilence;
            boolean lives =
                    entry.record.stage == Stage.READY || entry.record.stage == Stage.DRAINING;
            if (silent && lives) {
                boolean leaves = entry.record.stage == Stage.DRAINING;
                entry.record = entry.record.withStage(leaves ? Stage.GONE : Stage.LOST);
                entry.revision = ++revision;
                changed = true;
            }
        }
        return changed;
    }
}
