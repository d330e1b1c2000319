package myrtleladder.consensus;

import java.util.Map;
import java.util.TreeMap;

/**
 * Who belongs to the fleet, as a majority of the council has decided it.
 *
 * @param epoch of the founding that it descends from
 * @param number one more than that of the view before; with the epoch it names one set of startIds
 *     and no other
 * @param startIds the start of each member, by name
 */
public record View(long epoch, long number, Map<String, Long> startIds) {
    /** Before the first one. */
    public static final View NONE = new View(0, 0, Map.of());

    /** Keeps the startIds in the order of their names: equal views have equal bytes. */
    public View {
        startIds = java.util.Collections.unmodifiableMap(new TreeMap<>(startIds));
    }

    /** Whether this very life belongs to it. */
    public boolean has(ProcessId process) {
        return Long.valueOf(process.startId()).equals(startIds.get(process.name()));
    }
}
