package myrtleladder.consensus;

import java.util.Map;
import java.util.TreeMap;

/**
 * Who belongs to the fleet, as a majority of the council has decided it.
 *
 * @param epoch of the founding that it descends from
 * @param number one more than that of the view before; with the epoch it names one set of lives and
 *     no other
 * @param lives by name
 */
public record View(long epoch, long number, Map<String, Long> lives) {
    /** Before the first one. */
    public static final View NONE = new View(0, 0, Map.of());

    /** Keeps the lives in the order of their names: equal views have equal bytes. */
    public View {
        lives = java.util.Collections.unmodifiableMap(new TreeMap<>(lives));
    }

    /** Whether this very life belongs to it. */
    public boolean has(Life life) {
        return Long.valueOf(life.life()).equals(lives.get(life.name()));
    }
}
