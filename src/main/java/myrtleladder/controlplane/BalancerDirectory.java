package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.protocol.BalancerAddress;
import myrtleladder.protocol.InFlightRequests;
import myrtleladder.protocol.PollRequest;

/** The balancers that live: those that poll, and those that their monitors on the ring hear. */
final class BalancerDirectory {
    private static final long ALIVE = 3_500;

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long revision;

    private static final class Entry {
        String address;
        long heardAt;
        int told;
        List<InFlightRequests> underWay = List.of();
    }

    /** Takes a poll, with what the balancer hears of those that it monitors. */
    void heard(PollRequest poll, long now) {
        for (String name : poll.liveBalancers) {
            Entry monitored = entries.get(name);
            if (monitored != null) {
                monitored.heardAt = now;
            }
        }
        if (poll.leaving) {
            revision += entries.remove(poll.balancer) == null ? 0 : 1;
            return;
        }
        Entry entry = entries.get(poll.balancer);
        if (entry == null || !entry.address.equals(poll.address)) {
            entry = new Entry();
            entry.address = poll.address;
            entries.put(poll.balancer, entry);
            revision++;
        }
        entry.heardAt = now;
        entry.told = poll.balancerCount;
        entry.underWay = poll.inFlightAtDraining;
    }

    /** What all balancers have under way at upstreams that leave, by incarnation. */
    Map<String, Integer> underWay() {
        Map<String, Integer> sums = new HashMap<>();
        for (Entry entry : entries.values()) {
            entry.underWay.forEach(u -> sums.merge(u.instanceId, u.requests, Integer::sum));
        }
        return sums;
    }

    /** Forgets balancers that nobody hears. */
    void expire(long now) {
        if (entries.values().removeIf(e -> now - e.heardAt > ALIVE)) {
            revision++;
        }
    }

    /** Counts the changes of who lives. */
    long revision() {
        return revision;
    }

    /** Who lives. */
    List<BalancerAddress> members() {
        List<BalancerAddress> members = new ArrayList<>();
        entries.forEach((name, entry) -> members.add(BalancerAddress.of(name, entry.address)));
        return members;
    }

    /**
     * How many balancers there are: those heard of, or as many as they knew before this node heard
     * them.
     */
    int count(boolean recentlyPrimary) {
        int told = 0;
        for (Entry entry : entries.values()) {
            told = Math.max(told, entry.told);
        }
        return Math.max(1, recentlyPrimary ? Math.max(entries.size(), told) : entries.size());
    }
}
