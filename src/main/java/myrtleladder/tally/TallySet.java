package myrtleladder.tally;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.protocol.TallyAddition;

/**
 * All additions that this node knows, and the resulting totals: a grow-only set that stores the
 * gap-free prefix of each replica's additions. If several additions to a tally have the same id,
 * the id counts once, with the greatest of their amounts. Two nodes with the same additions
 * therefore have the same totals, in whatever order the additions arrived. Confined to the event
 * loop.
 */
final class TallySet {
    private final Map<String, List<TallyAddition>> additionsByReplica = new LinkedHashMap<>();
    private final Map<String, Tally> tallyByName = new HashMap<>();
    private final VersionVector vector = new VersionVector();
    private int size;

    /** The total of one tally, and the addition that counts for each id. */
    private static final class Tally {
        private final Map<String, TallyAddition> additionById = new HashMap<>();
        private final String name;
        private long total;

        Tally(String name) {
            this.name = name;
        }

        void count(TallyAddition addition) {
            TallyAddition counted = additionById.get(addition.id);
            if (counted == null) {
                additionById.put(addition.id, addition);
                total += addition.amount;
            } else if (addition.amount > counted.amount) {
                additionById.put(addition.id, addition);
                total += addition.amount - counted.amount;
            }
        }
    }

    /**
     * Adds those additions that continue the prefix of their replica. The others are already known,
     * or follow a gap and will be received again later.
     *
     * @return the additions that were added, in order
     */
    List<TallyAddition> merge(List<TallyAddition> additions) {
        List<TallyAddition> added = new ArrayList<>();
        for (TallyAddition addition : additions) {
            if (addition.sequence == vector.get(addition.replica) + 1) {
                added.add(append(addition));
            }
        }
        return added;
    }

    private TallyAddition append(TallyAddition addition) {
        Tally tally = tallyByName.computeIfAbsent(addition.tally, Tally::new);
        List<TallyAddition> prefix =
                additionsByReplica.computeIfAbsent(addition.replica, replica -> new ArrayList<>());
        // Additions of one replica, and of one tally, share the string instances that name them.
        String replica = prefix.isEmpty() ? addition.replica : prefix.get(0).replica;
        TallyAddition stored =
                TallyAddition.of(
                        replica, addition.sequence, tally.name, addition.id, addition.amount);
        prefix.add(stored);
        vector.raise(replica, stored.sequence);
        tally.count(stored);
        size++;
        return stored;
    }

    /** Returns the addition that counts for an id of a tally, null if there is none. */
    TallyAddition find(String tallyName, String id) {
        Tally tally = tallyByName.get(tallyName);
        return tally == null ? null : tally.additionById.get(id);
    }

    /** Returns the sum of a tally, 0 if nothing was added to it. */
    long total(String tallyName) {
        Tally tally = tallyByName.get(tallyName);
        return tally == null ? 0 : tally.total;
    }

    /** Returns a live view of the known additions. */
    VersionVector vector() {
        return vector;
    }

    /** Returns at most {@code maxCount} of the additions that are not covered by a vector. */
    List<TallyAddition> missingFrom(VersionVector other, int maxCount) {
        List<TallyAddition> missing = new ArrayList<>();
        for (String replica : additionsByReplica.keySet()) {
            int remaining = maxCount - missing.size();
            missing.addAll(after(replica, other.get(replica), remaining));
        }
        return missing;
    }

    /** Returns at most {@code maxCount} additions of a replica that follow a sequence number. */
    List<TallyAddition> after(String replica, long sequence, int maxCount) {
        List<TallyAddition> prefix = additionsByReplica.getOrDefault(replica, List.of());
        int from = (int) Math.min(sequence, prefix.size());
        int to = (int) Math.min((long) from + Math.max(0, maxCount), prefix.size());
        return List.copyOf(prefix.subList(from, to));
    }

    /** Returns the number of additions, including those that repeat an id. */
    int size() {
        return size;
    }

    /** Returns the number of tallies that have additions. */
    int tallyCount() {
        return tallyByName.size();
    }
}
