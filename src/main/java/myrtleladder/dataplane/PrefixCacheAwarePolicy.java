package myrtleladder.dataplane;

import java.util.ArrayList;
import java.util.List;
import myrtleladder.loadbalancer.policy.EarliestDeadlineFirstScheduler;

/**
 * Picks among the upstreams of a model service by the expected time to the first event and by the
 * delay that a cache miss of the shared prompt prefix causes for queued requests. A prefix that is
 * not cached anywhere goes to its affinity upstream, the first by rendezvous hashing, which is the
 * same at every balancer that knows the same upstreams. Confined to the event loop; see
 * docs/decisions.md for the figures.
 */
final class PrefixCacheAwarePolicy {
    /** Rate at which prefixes are cached at their affinity upstream, see docs/decisions.md. */
    private static final double FIRST_AFFINITY_HIT_RATE = 0.7;

    /** Rate at which prefixes are cached at the second upstream by affinity. */
    private static final double SECOND_AFFINITY_HIT_RATE = 0.15;

    /** Candidates whose cost exceeds the minimum by at most this are equally eligible. */
    private static final double COST_TIE_MARGIN_MS = 25;

    /** Extra cost of the second upstream by affinity for an uncached prefix; others: twice that. */
    private static final double AFFINITY_MISS_COST_MS = 40;

    /** Weight of the time to process an uncached prefix again, which delays other requests. */
    private static final double PREFIX_MISS_COST_FACTOR = 3;

    /** Expected delay for each request that waits for a batch slot. */
    private static final double DELAY_PER_QUEUED_REQUEST_MS = 40;

    /** Lower bound of the success rate by which the expected time is divided. */
    private static final double MIN_SUCCESS_RATE = 0.1;

    /** Rank of an upstream in the rendezvous order of a prefix. */
    private enum Affinity {
        FIRST(0, 0),
        SECOND(AFFINITY_MISS_COST_MS, 1 - SECOND_AFFINITY_HIT_RATE / FIRST_AFFINITY_HIT_RATE),
        NONE(2 * AFFINITY_MISS_COST_MS, 1);

        /** Upper bound of the extra cost while the other balancers' loads are fresh. */
        private final double affinityCostMs;

        /**
         * Loss of hit rate, relative to the first upstream by affinity; determines the extra cost
         * while the other balancers' loads are not known.
         */
        private final double hitRateLossFraction;

        Affinity(double affinityCostMs, double hitRateLossFraction) {
            this.affinityCostMs = affinityCostMs;
            this.hitRateLossFraction = hitRateLossFraction;
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

    /** Lets the scheduler pick among the candidates whose cost is near the minimum. */
    PickResult pick(
            EarliestDeadlineFirstScheduler scheduler,
            PromptSegments prompt,
            List<Upstream> candidates,
            long nowMs) {
        List<PickResult> results = evaluate(prompt, candidates, nowMs);
        double minCostMs = Double.POSITIVE_INFINITY;
        for (PickResult result : results) {
            minCostMs = Math.min(minCostMs, result.costMs());
        }
        List<Upstream> nearMinCost = new ArrayList<>();
        for (PickResult result : results) {
            if (result.costMs() <= minCostMs + COST_TIE_MARGIN_MS) {
                nearMinCost.add(result.upstream());
            }
        }
        return resultOf(scheduler.pick(nearMinCost), results);
    }

    private static PickResult resultOf(Upstream upstream, List<PickResult> results) {
        for (PickResult result : results) {
            if (result.upstream() == upstream) {
                return result;
            }
        }
        throw new IllegalStateException("picked an upstream that is no candidate");
    }

    /** The candidate of the lowest cost, the first of several; null without candidates. */
    PickResult cheapest(PromptSegments prompt, List<Upstream> candidates, long nowMs) {
        PickResult cheapest = null;
        for (PickResult result : evaluate(prompt, candidates, nowMs)) {
            if (cheapest == null || Double.compare(result.costMs(), cheapest.costMs()) < 0) {
                cheapest = result;
            }
        }
        return cheapest;
    }

    /** Whether prefill of the shared prefix takes long enough to announce where it is cached. */
    boolean shouldAnnounce(PromptSegments prompt) {
        return prompt.sharedPrefixTokens() * prefillTime.msPerToken() > COST_TIE_MARGIN_MS;
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

    /** The first candidate by rendezvous hashing of the prefix, not counting the excluded one. */
    private static Upstream highestAffinity(
            List<Upstream> candidates, long prefixHash, Upstream excluded) {
        Upstream highest = null;
        for (Upstream upstream : candidates) {
            if (upstream != excluded
                    && (highest == null || hasHigherAffinity(upstream, highest, prefixHash))) {
                highest = upstream;
            }
        }
        return highest;
    }

    /** Upstreams without an ordinal come last until the control plane assigns them one. */
    private static boolean hasHigherAffinity(Upstream upstream, Upstream other, long prefixHash) {
        if (upstream.hasOrdinal() != other.hasOrdinal()) {
            return upstream.hasOrdinal();
        }
        return upstream.affinityScore(prefixHash) > other.affinityScore(prefixHash);
    }

    /**
     * Estimates the request at one upstream. Without fresh loads of the other balancers, neither
     * the queues nor their latest sends of the prefix are known, so affinity gets more weight.
     */
    private PickResult evaluate(
            Upstream upstream,
            PromptSegments prompt,
            Affinity affinity,
            boolean hasFreshLoads,
            long nowMs) {
        int cachedTokens = upstream.prefixCache().cachedTokens(prompt, nowMs);
        double prefixMissMs =
                Math.max(0, prompt.sharedPrefixTokens() - cachedTokens) * prefillTime.msPerToken();
        double affinityCostMs =
                hasFreshLoads
                        ? Math.min(affinity.affinityCostMs, prefixMissMs)
                        : affinity.hitRateLossFraction * FIRST_AFFINITY_HIT_RATE * prefixMissMs;
        double uncachedTokens = prompt.totalTokens() - (double) cachedTokens;
        double backlogTokens = upstream.pendingPromptTokens() + upstream.peerPromptTokens(nowMs);
        double knownPrefillMs =
                prefillTime.baseMs() + (backlogTokens + uncachedTokens) * prefillTime.msPerToken();
        double expectedMs = expectedMs(upstream, knownPrefillMs, nowMs);
        return new PickResult(
                upstream,
                (int) Math.round(uncachedTokens),
                expectedMs,
                knownPrefillMs,
                expectedMs
                        + PREFIX_MISS_COST_FACTOR * prefixMissMs
                        + affinityCostMs
                        + weightsRollout.weightsCostMs(upstream),
                backlogTokens == 0);
    }

    private static double expectedMs(Upstream upstream, double knownPrefillMs, long nowMs) {
        double queueMs =
                Math.max(0, upstream.inFlight() + 1 - upstream.capacity())
                        * DELAY_PER_QUEUED_REQUEST_MS;
        double reportedQueueMs =
                upstream.reportedWaitingRequests(nowMs) * DELAY_PER_QUEUED_REQUEST_MS;
        double successRate = Math.max(MIN_SUCCESS_RATE, 1 - upstream.errorRate());
        return (knownPrefillMs + upstream.extraDelayMs(nowMs) + queueMs + reportedQueueMs)
                / successRate;
    }
}
