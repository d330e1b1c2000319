package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.protocol.BalancerAddress;
import myrtleladder.protocol.InFlightRequests;
import myrtleladder.protocol.PollRequest;

/**
 * The live balancers: those that poll, and those whose heartbeats their monitors on the ring
 * receive.
 *
 * <p>Confined to the event loop.
 */
final class BalancerRegistry {
    /** After this time without a sign of life a balancer is removed. */
    private static final long TIMEOUT_MS = 3_500;

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long revision;

    private static final class Entry {
        final String address;
        long lastSeenMs;
        int reportedCount;
        List<InFlightRequests> inFlight = List.of();

        Entry(String address) {
            this.address = address;
        }
    }

    /** Records a poll, with the balancers that the polling one monitors and found alive. */
    void recordPoll(PollRequest poll, long nowMs) {
        for (String name : poll.liveBalancers) {
            Entry monitored = entries.get(name);
            if (monitored != null) {
                monitored.lastSeenMs = nowMs;
            }
        }
        if (poll.leaving) {
            remove(poll.balancer);
            return;
        }
        Entry entry = entryAt(poll.balancer, poll.address);
        entry.lastSeenMs = nowMs;
        entry.reportedCount = poll.balancerCount;
        entry.inFlight = poll.inFlightAtDraining;
    }

    private void remove(String balancer) {
        if (entries.remove(balancer) != null) {
            revision++;
        }
    }

    /** The entry of a balancer, a new one if it is unknown or moved to another address. */
    private Entry entryAt(String balancer, String address) {
        Entry known = entries.get(balancer);
        if (known != null && known.address.equals(address)) {
            return known;
        }
        Entry created = new Entry(address);
        entries.put(balancer, created);
        revision++;
        return created;
    }

    /** The requests of all balancers in flight at draining upstreams, by upstream incarnation. */
    Map<String, Integer> inFlightRequests() {
        Map<String, Integer> sums = new HashMap<>();
        for (Entry entry : entries.values()) {
            entry.inFlight.forEach(
                    inFlight -> sums.merge(inFlight.instanceId, inFlight.requests, Integer::sum));
        }
        return sums;
    }

    /** Removes balancers without a sign of life. */
    void expire(long nowMs) {
        if (entries.values().removeIf(entry -> nowMs - entry.lastSeenMs > TIMEOUT_MS)) {
            revision++;
        }
    }

    /** Advances whenever a balancer comes, moves or goes. */
    long revision() {
        return revision;
    }

    /** The live balancers with their addresses. */
    List<BalancerAddress> addresses() {
        List<BalancerAddress> addresses = new ArrayList<>();
        entries.forEach((name, entry) -> addresses.add(BalancerAddress.of(name, entry.address)));
        return addresses;
    }

    /**
     * The number of balancers, at least 1.
     *
     * @param isNewPrimary whether this node may not have heard of all yet; then what the balancers
     *     themselves report counts if it is more
     */
    int count(boolean isNewPrimary) {
        int count = Math.max(1, entries.size());
        if (isNewPrimary) {
            for (Entry entry : entries.values()) {
                count = Math.max(count, entry.reportedCount);
            }
        }
        return count;
    }
}
