package yewyoke.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import yewyoke.message.Poll;
import yewyoke.message.TenantDemand;
import yewyoke.message.TenantShare;

/**
 * The balancers that poll, and how quotas are divided among them: a part of each quota in equal shares, the
 * rest by demand. A silent balancer keeps its share for a while, since it may be cut off and still serve.
 */
final class BalancerDirectory {
    private static final long ALIVE = 3_500;
    private static final long RESERVED = 15_000;
    private static final double EQUAL_PART = 0.25;

    private final Map<String, Entry> entries = new LinkedHashMap<>();

    private static final class Entry {
        long heardAt;
        int told;
        final Map<String, Double> demand = new HashMap<>();
    }

    /** Takes a poll. */
    void heard(Poll poll, long now) {
        if (poll.leaving) {
            entries.remove(poll.balancer);
            return;
        }
        Entry entry = entries.computeIfAbsent(poll.balancer, b -> new Entry());
        entry.heardAt = now;
        entry.told = poll.balancers;
        entry.demand.clear();
        for (TenantDemand demand : poll.demand) {
            entry.demand.put(demand.tenant, Math.max(0, demand.perSecond));
        }
    }

    /** Forgets balancers that were silent for long. */
    void expire(long now) {
        entries.values().removeIf(e -> now - e.heardAt > RESERVED);
    }

    /** How many balancers there are: those heard of, or as many as they knew before this node heard them. */
    int count(long now, boolean recentlyPrimary) {
        int alive = 0;
        int told = 0;
        for (Entry entry : entries.values()) {
            alive += now - entry.heardAt <= ALIVE ? 1 : 0;
            told = Math.max(told, entry.told);
        }
        return Math.max(1, recentlyPrimary ? Math.max(alive, told) : alive);
    }

    /** The shares of one balancer. */
    List<TenantShare> shares(String balancer, long now, boolean recentlyPrimary) {
        Entry own = entries.get(balancer);
        if (own == null) {
            return List.of();
        }
        int holders = Math.max(entries.size(), count(now, recentlyPrimary));
        List<TenantShare> shares = new ArrayList<>();
        own.demand.forEach((tenant, demand) -> {
            double all = 0;
            for (Entry entry : entries.values()) {
                all += entry.demand.getOrDefault(tenant, 0.0);
            }
            double byDemand = all > 0 ? demand / all : 1.0 / holders;
            shares.add(TenantShare.of(tenant, EQUAL_PART / holders + (1 - EQUAL_PART) * byDemand));
        });
        return shares;
    }
}
