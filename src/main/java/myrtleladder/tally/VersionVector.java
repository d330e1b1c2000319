package myrtleladder.tally;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import myrtleladder.protocol.TallyPosition;

/**
 * A version vector: the number of additions of each replica that are known on some node or disk.
 * These are always the first ones, without gaps, and entries never decrease. Confined to the event
 * loop.
 */
final class VersionVector {
    private final Map<String, Long> sequenceByReplica = new HashMap<>();

    /** Creates a vector from its entries. */
    static VersionVector of(List<TallyPosition> positions) {
        VersionVector vector = new VersionVector();
        positions.forEach(position -> vector.raise(position.replica, position.sequence));
        return vector;
    }

    /** Returns the sequence number of the last known addition of a replica, 0 for none. */
    long get(String replica) {
        return sequenceByReplica.getOrDefault(replica, 0L);
    }

    /** Raises the entry of a replica to at least a sequence number. */
    void raise(String replica, long sequence) {
        if (sequence > 0) {
            sequenceByReplica.merge(replica, sequence, Math::max);
        }
    }

    /** Raises each entry to at least that of the other vector. */
    void raise(VersionVector other) {
        other.sequenceByReplica.forEach(this::raise);
    }

    /** Returns whether this vector includes an addition. */
    boolean includes(String replica, long sequence) {
        return get(replica) >= sequence;
    }

    /** Returns whether this vector includes all additions of the other one. */
    boolean includes(VersionVector other) {
        return other.sequenceByReplica.entrySet().stream()
                .allMatch(entry -> includes(entry.getKey(), entry.getValue()));
    }

    /** Returns the replicas that have an entry. */
    Set<String> replicas() {
        return Collections.unmodifiableSet(sequenceByReplica.keySet());
    }

    /** Returns a copy with only the entries of the given replicas. */
    VersionVector restrictedTo(Collection<String> replicas) {
        VersionVector part = new VersionVector();
        replicas.forEach(replica -> part.raise(replica, get(replica)));
        return part;
    }

    /** Returns how many additions of the other vector this one does not include. */
    long countMissing(VersionVector other) {
        long missing = 0;
        for (Map.Entry<String, Long> entry : other.sequenceByReplica.entrySet()) {
            missing += Math.max(0, entry.getValue() - get(entry.getKey()));
        }
        return missing;
    }

    /** Returns the entries in the form used in messages. */
    List<TallyPosition> toPositions() {
        List<TallyPosition> positions = new ArrayList<>();
        sequenceByReplica.forEach(
                (replica, sequence) -> positions.add(TallyPosition.of(replica, sequence)));
        return positions;
    }

    /** Returns this vector's entries for the replicas for which the other vector is ahead. */
    List<TallyPosition> positionsBehind(VersionVector other) {
        List<TallyPosition> positions = new ArrayList<>();
        for (Map.Entry<String, Long> entry : other.sequenceByReplica.entrySet()) {
            if (get(entry.getKey()) < entry.getValue()) {
                positions.add(TallyPosition.of(entry.getKey(), get(entry.getKey())));
            }
        }
        return positions;
    }
}
