package myrtleladder.tally;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.protocol.TallyAddition;

/**
 * All additions that this node knows: a grow-only set of dots, kept as the gap-free prefix of each
 * replica's additions, and the totals that follow from it. An id that stands in several dots of one
 * tally counts once, with the greatest of its amounts. So two nodes that have the same dots have
 * the same totals, in whatever order the dots came. Confined to the event loop.
 */
final class TallySet {
    private final Map<String, List<TallyAddition>> additionsByReplica = new LinkedHashMap<>();
    private final Map<String, Tally> tallyByName = new HashMap<>();
    private final VersionVector vector = new VersionVector();
    private int size;

    /** The additions to one tally that count. */
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
     * Adds those additions that continue the prefix of their replica; others are known already, or
     * lie behind a gap and come again later.
     *
     * @return the additions that were added, in their order
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
        // additions of one replica, and of one tally, share the texts that name them
        String replica = prefix.isEmpty() ? addition.replica : prefix.get(0).replica;
        TallyAddition kept =
                TallyAddition.of(
                        replica, addition.sequence, tally.name, addition.id, addition.amount);
        prefix.add(kept);
        vector.raise(replica, kept.sequence);
        tally.count(kept);
        size++;
        return kept;
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

    /** Returns which additions are known; a live view. */
    VersionVector vector() {
        return vector;
    }

    /** Returns additions that someone who has those of a vector lacks, up to a number of them. */
    List<TallyAddition> missingFrom(VersionVector other, int maxCount) {
        List<TallyAddition> missing = new ArrayList<>();
        for (String replica : additionsByReplica.keySet()) {
            int left = maxCount - missing.size();
            missing.addAll(after(replica, other.get(replica), left));
        }
        return missing;
    }

    /** Returns additions of a replica that follow a sequence number, up to a number of them. */
    List<TallyAddition> after(String replica, long sequence, int maxCount) {
        List<TallyAddition> prefix = additionsByReplica.getOrDefault(replica, List.of());
        int from = (int) Math.min(sequence, prefix.size());
        int to = (int) Math.min((long) from + Math.max(0, maxCount), prefix.size());
        return List.copyOf(prefix.subList(from, to));
    }

    /** Returns the number of additions, those that repeat an id included. */
    int size() {
        return size;
    }

    /** Returns the number of tallies that have additions. */
    int tallyCount() {
        return tallyByName.size();
    }
}
