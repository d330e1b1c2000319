package myrtleladder.heartbeat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32;
import myrtleladder.protocol.BalancerAddress;

/**
 * A ring of processes, ordered by a hash of their names, in which each process is monitored by its
 * successors; the successor of the last is the first. All processes that know the same members
 * compute the same ring. Immutable.
 */
public final class MonitorRing {
    private final List<BalancerAddress> ordered;

    /** Creates a ring of the given processes, whose order does not matter. */
    public MonitorRing(Collection<BalancerAddress> members) {
        ordered = new ArrayList<>(members);
        ordered.sort(
                Comparator.<BalancerAddress>comparingLong(member -> positionOf(member.name))
                        .thenComparing(member -> member.name));
    }

    private static long positionOf(String name) {
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }

    /**
     * Returns the monitors of a process: its successors, at most {@code count} and never the
     * process itself; none if the process is not on the ring.
     */
    public List<BalancerAddress> monitorsOf(String name, int count) {
        List<BalancerAddress> monitors = new ArrayList<>();
        int index = indexOf(name);
        if (index == ordered.size()) {
            return monitors;
        }
        for (int i = 1; i < ordered.size() && monitors.size() < count; i++) {
            monitors.add(ordered.get((index + i) % ordered.size()));
        }
        return monitors;
    }

    /** Returns the index of a process, or the size of the ring if the process is not on it. */
    private int indexOf(String name) {
        int index = 0;
        while (index < ordered.size() && !ordered.get(index).name.equals(name)) {
            index++;
        }
        return index;
    }
}
