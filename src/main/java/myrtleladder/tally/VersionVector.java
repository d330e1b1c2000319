package myrtleladder.tally;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.protocol.TallyPosition;

/**
 * How many additions of each replica are known somewhere: always the first ones, without gaps. Only
 * grows. Confined to the event loop.
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

    /** Returns whether an addition is known. */
    boolean includes(String replica, long sequence) {
        return get(replica) >= sequence;
    }

    /** Returns whether all that the other vector knows is known. */
    boolean includes(VersionVector other) {
        return other.sequenceByReplica.entrySet().stream()
                .allMatch(entry -> includes(entry.getKey(), entry.getValue()));
    }

    /** Returns how many additions of the other vector are not known. */
    long countMissing(VersionVector other) {
        long missing = 0;
        for (Map.Entry<String, Long> entry : other.sequenceByReplica.entrySet()) {
            missing += Math.max(0, entry.getValue() - get(entry.getKey()));
        }
        return missing;
    }

    /** Returns the entries as a message has them. */
    List<TallyPosition> toPositions() {
        List<TallyPosition> positions = new ArrayList<>();
        sequenceByReplica.forEach(
                (replica, sequence) -> positions.add(TallyPosition.of(replica, sequence)));
        return positions;
    }

    /** Returns the entries of the other vector's replicas where this vector is behind it. */
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
