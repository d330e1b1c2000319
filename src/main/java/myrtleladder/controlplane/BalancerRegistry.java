package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.protocol.BalancerAddress;
import myrtleladder.protocol.InFlightRequests;
import myrtleladder.protocol.PollRequest;
import myrtleladder.protocol.QuotaFallbackPolicy;

/**
 * The live balancers: those that poll this node, and those that other balancers report as alive
 * because they receive their heartbeats on the monitoring ring.
 *
 * <p>Confined to the event loop.
 */
final class BalancerRegistry {
    /** A balancer that neither polls nor is reported as alive for this long is removed. */
    private static final long TIMEOUT_MS = 3_500;

    /** Time for which a part of the quotas is reserved for a balancer that timed out. */
    private static final long LOST_RESERVATION_MS = 30_000;

    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** When the balancers that timed out polled last, by name. */
    private final Map<String, Long> lostBalancers = new HashMap<>();

    private long revision;

    /** A live balancer with the content of its latest poll. */
    private static final class Entry {
        final String address;
        long lastSeenMs;
        long lastPolledMs;
        int reportedCount;
        List<InFlightRequests> inFlight = List.of();

        Entry(String address) {
            this.address = address;
        }
    }

    /** Records a poll, including the live balancers that the polling balancer monitors. */
    void recordPoll(PollRequest poll, long nowMs) {
        for (String name : poll.liveBalancers) {
            Entry monitored = entries.get(name);
            if (monitored != null) {
                monitored.lastSeenMs = nowMs;
            }
        }
        lostBalancers.remove(poll.balancer);
        if (poll.leaving) {
            remove(poll.balancer);
            return;
        }
        Entry entry = getOrCreateEntry(poll.balancer, poll.address);
        entry.lastSeenMs = nowMs;
        entry.lastPolledMs = nowMs;
        entry.reportedCount = poll.balancerCount;
        entry.inFlight = poll.inFlightAtDraining;
    }

    private void remove(String balancer) {
        if (entries.remove(balancer) != null) {
            revision++;
        }
    }

    /**
     * Returns the entry of a balancer; creates it if the balancer is unknown or its address has
     * changed.
     */
    private Entry getOrCreateEntry(String balancer, String address) {
        Entry known = entries.get(balancer);
        if (known != null && known.address.equals(address)) {
            return known;
        }
        Entry created = new Entry(address);
        entries.put(balancer, created);
        revision++;
        return created;
    }

    /**
     * Returns the number of requests in flight from all balancers at draining upstreams, by
     * upstream incarnation.
     */
    Map<String, Integer> inFlightByInstance() {
        Map<String, Integer> requestsByInstance = new HashMap<>();
        for (Entry entry : entries.values()) {
            entry.inFlight.forEach(
                    inFlight ->
                            requestsByInstance.merge(
                                    inFlight.instanceId, inFlight.requests, Integer::sum));
        }
        return requestsByInstance;
    }

    /** Removes the balancers that have timed out. */
    void expire(long nowMs) {
        lostBalancers.values().removeIf(polledMs -> nowMs - polledMs > LOST_RESERVATION_MS);
        entries.forEach(
                (name, entry) -> {
                    if (isExpired(entry, nowMs)) {
                        lostBalancers.put(name, entry.lastPolledMs);
                    }
                });
        if (entries.values().removeIf(entry -> isExpired(entry, nowMs))) {
            revision++;
        }
    }

    private static boolean isExpired(Entry entry, long nowMs) {
        return nowMs - entry.lastSeenMs > TIMEOUT_MS;
    }

    /**
     * Returns the share of all quotas that balancers out of contact may use without the primary:
     * those that do not poll, and on a new primary those that have not polled it yet.
     */
    double reservedShare(boolean isNewPrimary, long nowMs) {
        int knownCount = entries.size() + lostBalancers.size();
        int totalCount = Math.max(knownCount, count(isNewPrimary));
        double reserved = (totalCount - knownCount) * QuotaFallbackPolicy.INITIAL_FRACTION;
        for (Entry entry : entries.values()) {
            reserved += QuotaFallbackPolicy.reservedFraction(nowMs - entry.lastPolledMs);
        }
        for (long polledMs : lostBalancers.values()) {
            reserved += QuotaFallbackPolicy.reservedFraction(nowMs - polledMs);
        }
        return reserved / totalCount;
    }

    /**
     * Returns the revision of the balancer list, which increases whenever a balancer joins, changes
     * its address or leaves.
     */
    long revision() {
        return revision;
    }

    /** Returns the live balancers with their addresses. */
    List<BalancerAddress> addresses() {
        List<BalancerAddress> addresses = new ArrayList<>();
        entries.forEach((name, entry) -> addresses.add(BalancerAddress.of(name, entry.address)));
        return addresses;
    }

    /**
     * Returns the number of balancers, at least 1.
     *
     * @param isNewPrimary whether this node became primary so recently that some balancers may not
     *     have polled it yet; the largest count that a balancer reports then applies if it is
     *     higher
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
