package myrtleladder.testbed.simulation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Supplier;
import java.util.zip.CRC32C;

/**
 * What happened in a world: the last lines in full, and a digest of all. Two runs of one seed have
 * the same digest, or something in them hangs on more than the seed.
 */
public final class EventHistory {
    private static final int KEPT = 2_000;
    private final Deque<String> last = new ArrayDeque<>();
    private final CRC32C digest = new CRC32C();

    void add(long at, String process, Supplier<String> what) {
        String line = at + " " + process + " " + what.get();
        digest.update(line.getBytes(StandardCharsets.UTF_8));
        last.add(line);
        if (last.size() > KEPT) {
            last.remove();
        }
    }

    /** The last lines, oldest first: time in microseconds, process, what happened. */
    public List<String> last() {
        return new ArrayList<>(last);
    }

    /** A figure for all that has happened so far. */
    public long digest() {
        return digest.getValue();
    }
}
