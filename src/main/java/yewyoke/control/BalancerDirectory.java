package yewyoke.control;

import java.util.LinkedHashMap;
import java.util.Map;
import yewyoke.message.Poll;

/** The balancers that poll. */
final class BalancerDirectory {
    private static final long ALIVE = 3_500;

    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** When a balancer was heard, and how many balancers it knew of. */
    private record Entry(long heardAt, int told) { }

    /** Takes a poll. */
    void heard(Poll poll, long now) {
        if (poll.leaving) {
            entries.remove(poll.balancer);
        } else {
            entries.put(poll.balancer, new Entry(now, poll.balancers));
        }
    }

    /** Forgets balancers that are silent. */
    void expire(long now) {
        entries.values().removeIf(e -> now - e.heardAt() > ALIVE);
    }

    /** How many balancers there are: those heard of, or as many as they knew before this node heard them. */
    int count(boolean recentlyPrimary) {
        int told = 0;
        for (Entry entry : entries.values()) {
            told = Math.max(told, entry.told());
        }
        return Math.max(1, recentlyPrimary ? Math.max(entries.size(), told) : entries.size());
    }
}
