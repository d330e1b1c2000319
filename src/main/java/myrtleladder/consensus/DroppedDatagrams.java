package myrtleladder.consensus;

import java.util.Map;
import java.util.TreeMap;

/** Counts datagrams that were dropped, by reason; operators see the reasons. */
final class DroppedDatagrams {
    private final Map<String, Long> counts = new TreeMap<>();

    void count(String reason) {
        counts.merge(reason, 1L, Long::sum);
    }

    /** An immutable copy of the counts. */
    Map<String, Long> counts() {
        return Map.copyOf(counts);
    }
}
