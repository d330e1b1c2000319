package myrtleladder.heartbeat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32;
import myrtleladder.protocol.BalancerAddress;

/** The processes on a ring, by a hash of their names; each is watched by the few that follow it. */
public final class Ring {
    private final List<BalancerAddress> order;

    /** Creates a ring of the given processes. */
    public Ring(Collection<BalancerAddress> members) {
        order = new ArrayList<>(members);
        order.sort(
                Comparator.<BalancerAddress>comparingLong(m -> position(m.name))
                        .thenComparing(m -> m.name));
    }

    static long position(String name) {
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }

    /**
     * The processes that watch one: those that follow it, as many as asked for if there are so
     * many.
     */
    public List<BalancerAddress> monitorsOf(String name, int count) {
        List<BalancerAddress> monitors = new ArrayList<>();
        int at = 0;
        while (at < order.size() && !order.get(at).name.equals(name)) {
            at++;
        }
        if (at == order.size()) {
            return monitors;
        }
        for (int i = 1; i < order.size() && monitors.size() < count; i++) {
            monitors.add(order.get((at + i) % order.size()));
        }
        return monitors;
    }
}
