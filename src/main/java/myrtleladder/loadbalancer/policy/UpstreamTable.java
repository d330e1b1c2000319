package myrtleladder.loadbalancer.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The state of the upstreams that are ready according to the endpoint list. */
final class UpstreamTable {
    private final int balancerPosition;
    private final boolean usesRatings;
    private final RequestStatistics statistics;
    private final ConcurrencyLimiter limiter;
    private final SlowStart slowStart;

    /** In the order in which they were first listed. */
    private final Map<String, UpstreamState> byId = new LinkedHashMap<>();

    private final Map<Integer, UpstreamState> byHash = new HashMap<>();
    private final List<UpstreamState> ranked = new ArrayList<>();

    UpstreamTable(
            Settings settings,
            RequestStatistics statistics,
            ConcurrencyLimiter limiter,
            SlowStart slowStart) {
        this.balancerPosition = settings.position();
        this.usesRatings = settings.ratingKind() != CapacityRatingKind.NONE;
        this.statistics = statistics;
        this.limiter = limiter;
        this.slowStart = slowStart;
    }

    /** Applies changes of the endpoint list, or a complete list if {@code isComplete}. */
    void update(List<Upstream> entries, boolean isComplete, long nowUs) {
        if (isComplete) {
            byId.keySet().retainAll(entries.stream().map(Upstream::id).toList());
        }
        for (Upstream entry : entries) {
            apply(entry, nowUs);
        }
        byId.values().removeIf(upstream -> upstream.endpoint.state() != Upstream.State.READY);
        rebuildIndexes();
    }

    private void apply(Upstream entry, long nowUs) {
        UpstreamState upstream = byId.get(entry.id());
        if (upstream == null || entry.launchedAtUs() > upstream.endpoint.launchedAtUs()) {
            upstream = create(entry, upstream, nowUs);
            byId.put(entry.id(), upstream);
        }
        upstream.endpoint = entry;
        upstream.rating = usesRatings && entry.rating() > 0 ? entry.rating() : 1;
    }

    /**
     * Creates the state of a new process. It keeps only the weight of the previous process; load
     * and health of that one do not apply to it. {@code previous} is null for a new upstream.
     */
    private UpstreamState create(Upstream entry, UpstreamState previous, long nowUs) {
        UpstreamState created = new UpstreamState(entry.id(), balancerPosition);
        created.logWeight = previous == null ? 0 : previous.logWeight;
        created.weight = Math.exp(created.logWeight);
        created.delayPerRequestUs = statistics.delayPerRequestUs();
        created.concurrencyLimit = limiter.initialLimit();
        slowStart.initializeTokens(created, nowUs);
        return created;
    }

    private void rebuildIndexes() {
        ranked.clear();
        ranked.addAll(byId.values());
        ranked.sort(Comparator.comparingLong(upstream -> upstream.subsetRank));
        byHash.clear();
        for (UpstreamState upstream : ranked) {
            byHash.put(upstream.hash, upstream);
            upstream.sharingPeers = null;
        }
    }

    /** All upstreams by their rank for this balancer; callers must not modify the list. */
    List<UpstreamState> ranked() {
        return ranked;
    }

    int size() {
        return ranked.size();
    }

    boolean isEmpty() {
        return ranked.isEmpty();
    }

    /** The upstream with that identifier; null if it is not listed. */
    UpstreamState byId(String id) {
        return byId.get(id);
    }

    /** The upstream with that hash; null if none is listed. */
    UpstreamState byHash(int hash) {
        return byHash.get(hash);
    }

    /**
     * Whether this is the current state of a listed upstream, and not that of an earlier process.
     */
    boolean contains(UpstreamState upstream) {
        return byId.get(upstream.id) == upstream;
    }
}
