package myrtleladder.gossip;

import java.util.Map;
import java.util.TreeMap;

/** Counts what was received and dropped, by reason; operators see the reasons. */
final class DroppedDatagrams {
    /** Larger than a datagram of this protocol may be. */
    static final String OVERSIZED = "oversized";

    /** Sent by an earlier start of a process than the one known. */
    static final String STALE = "stale";

    /** An update on a new name, while the member table is full. */
    static final String TABLE_FULL = "full";

    private final Map<String, Long> counts = new TreeMap<>();

    void count(String reason) {
        counts.merge(reason, 1L, Long::sum);
    }

    Map<String, Long> counts() {
        return Map.copyOf(counts);
    }
}
