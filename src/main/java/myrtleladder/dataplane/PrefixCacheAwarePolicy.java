package myrtleladder.dataplane;

import java.util.ArrayList;
import java.util.List;
import myrtleladder.loadbalancer.policy.EarliestDeadlineFirstScheduler;

/**
 * Picks among the upstreams of a model service by the expected time to the first event and by what
 * reading a prompt prefix anew costs the requests behind it. A prefix that is cached nowhere goes
 * to its affinity upstream, the first by rendezvous hashing, which is the same at every balancer
 * that sees the same upstreams. Confined to the event loop; docs/decisions.md has the figures.
 */
final class PrefixCacheAwarePolicy {
    /** Share of prefixes that affinity upstreams had cached, see docs/decisions.md. */
    private static final double AFFINITY_HIT_SHARE = 0.7;

    /** Share of prefixes that second affinity upstreams had cached. */
    private static final double SECOND_AFFINITY_HIT_SHARE = 0.15;

    /** Upstreams whose cost is within this of the least are picked alike. */
    private static final double TIE_MARGIN_MS = 25;

    /** How much shorter the wait at the second affinity upstream has to be. */
    private static final double DETOUR_MS = 40;

    /** Weight of the time in which a prefix is read anew, which delays others. */
    private static final double REREAD_COST_FACTOR = 3;

    /** Delay by each request that waits for a slot in the batch. */
    private static final double DELAY_PER_QUEUED_REQUEST_MS = 40;

    /** Bound of the error rate's effect on the expected time. */
    private static final double MIN_SUCCESS_RATE = 0.1;

    /** Place of an upstream in the rendezvous order of a prefix. */
    private enum Affinity {
        FIRST(0, 0),
        SECOND(DETOUR_MS, 1 - SECOND_AFFINITY_HIT_SHARE / AFFINITY_HIT_SHARE),
        NONE(2 * DETOUR_MS, 1);

        /** Extra cost for a new prefix while the other balancers' loads are known. */
        private final double detourMs;

        /** The same without their loads, as a share of the time that likely cached tokens take. */
        private final double detourShare;

        Affinity(double detourMs, double detourShare) {
            this.detourMs = detourMs;
            this.detourShare = detourShare;
        }
    }

    private final FleetLoadSync fleetLoads;
    private final PrefillTimeEstimator prefillTime;
    private final WeightsRollout weightsRollout;

    PrefixCacheAwarePolicy(
            FleetLoadSync fleetLoads,
            PrefillTimeEstimator prefillTime,
            WeightsRollout weightsRollout) {
        this.weightsRollout = weightsRollout;
        this.fleetLoads = fleetLoads;
        this.prefillTime = prefillTime;
    }

    /** Picks by the schedule among the candidates whose cost is near the least. */
    PickResult pick(
            EarliestDeadlineFirstScheduler schedule,
            PromptSegments prompt,
            List<Upstream> candidates,
            long nowMs) {
        List<PickResult> results = evaluate(prompt, candidates, nowMs);
        double leastCostMs = Double.POSITIVE_INFINITY;
        for (PickResult result : results) {
            leastCostMs = Math.min(leastCostMs, result.costMs());
        }
        List<Upstream> nearLeast = new ArrayList<>();
        for (PickResult result : results) {
            if (result.costMs() <= leastCostMs + TIE_MARGIN_MS) {
                nearLeast.add(result.upstream());
            }
        }
        return resultOf(schedule.pick(nearLeast), results);
    }

    private static PickResult resultOf(Upstream upstream, List<PickResult> results) {
        for (PickResult result : results) {
            if (result.upstream() == upstream) {
                return result;
            }
        }
        throw new IllegalStateException("picked an upstream that is no candidate");
    }

    /** The candidate of the least cost, the first of equals; there has to be a candidate. */
    PickResult cheapest(PromptSegments prompt, List<Upstream> candidates, long nowMs) {
        PickResult cheapest = null;
        for (PickResult result : evaluate(prompt, candidates, nowMs)) {
            if (cheapest == null || Double.compare(result.costMs(), cheapest.costMs()) < 0) {
                cheapest = result;
            }
        }
        return cheapest;
    }

    /** Whether the shared prefix takes so long to read that others should know where it is. */
    boolean shouldAnnounce(PromptSegments prompt) {
        return prompt.sharedTokens() * prefillTime.msPerToken() > TIE_MARGIN_MS;
    }

    private List<PickResult> evaluate(
            PromptSegments prompt, List<Upstream> candidates, long nowMs) {
        Upstream first = highestAffinity(candidates, prompt.sharedPrefixHash(), null);
        Upstream second = highestAffinity(candidates, prompt.sharedPrefixHash(), first);
        boolean hasFreshLoads = fleetLoads.hasFreshLoads(nowMs);
        List<PickResult> results = new ArrayList<>();
        for (Upstream upstream : candidates) {
            upstream.refreshInFlight(nowMs);
            Affinity affinity =
                    upstream == first
                            ? Affinity.FIRST
                            : upstream == second ? Affinity.SECOND : Affinity.NONE;
            results.add(evaluate(upstream, prompt, affinity, hasFreshLoads, nowMs));
        }
        return results;
    }

    /** The first by rendezvous hashing of the prefix, apart from one upstream. */
    private static Upstream highestAffinity(
            List<Upstream> candidates, long prefixHash, Upstream except) {
        Upstream highest = null;
        for (Upstream upstream : candidates) {
            if (upstream != except
                    && (highest == null || hasHigherAffinity(upstream, highest, prefixHash))) {
                highest = upstream;
            }
        }
        return highest;
    }

    /** Upstreams without an ordinal come last: the control plane assigns their ordinals later. */
    private static boolean hasHigherAffinity(Upstream upstream, Upstream other, long prefixHash) {
        if (upstream.hasOrdinal() != other.hasOrdinal()) {
            return upstream.hasOrdinal();
        }
        return upstream.affinityScore(prefixHash) > other.affinityScore(prefixHash);
    }

    /**
     * The result for one upstream. Without fresh loads of the other balancers neither the waits are
     * known nor where they sent the prefix lately, so the affinity counts for more.
     */
    private PickResult evaluate(
            Upstream upstream,
            PromptSegments prompt,
            Affinity affinity,
            boolean hasFreshLoads,
            long nowMs) {
        int cachedTokens = upstream.prefixCache().cachedTokens(prompt, nowMs);
        double rereadMs =
                Math.max(0, prompt.sharedTokens() - cachedTokens) * prefillTime.msPerToken();
        double detourMs =
                hasFreshLoads
                        ? Math.min(affinity.detourMs, rereadMs)
                        : affinity.detourShare * AFFINITY_HIT_SHARE * rereadMs;
        double uncachedTokens = prompt.totalTokens() - (double) cachedTokens;
        double backlogTokens = upstream.pendingPromptTokens() + upstream.peerPromptTokens(nowMs);
        double explainedMs =
                prefillTime.baseMs() + (backlogTokens + uncachedTokens) * prefillTime.msPerToken();
        double expectedMs = expectedMs(upstream, explainedMs, nowMs);
        return new PickResult(
                upstream,
                (int) Math.round(uncachedTokens),
                expectedMs,
                explainedMs,
                expectedMs
                        + REREAD_COST_FACTOR * rereadMs
                        + detourMs
                        + weightsRollout.costMs(upstream),
                backlogTokens == 0);
    }

    private static double expectedMs(Upstream upstream, double explainedMs, long nowMs) {
        double queueMs =
                Math.max(0, upstream.inFlight() + 1 - upstream.capacity())
                        * DELAY_PER_QUEUED_REQUEST_MS;
        double reportedQueueMs = upstream.reportedWaiting(nowMs) * DELAY_PER_QUEUED_REQUEST_MS;
        double successRate = Math.max(MIN_SUCCESS_RATE, 1 - upstream.errorRate());
        return (explainedMs + upstream.extraDelayMs(nowMs) + queueMs + reportedQueueMs)
                / successRate;
    }
}
