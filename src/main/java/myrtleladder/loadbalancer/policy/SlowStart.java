package myrtleladder.loadbalancer.policy;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Slow start: a recently launched upstream has a fraction of its capacity, and gets work through a
 * token bucket.
 *
 * <p>A cold upstream may be loaded with at most {@link RuleParameters#overloadMultiple} times its
 * capacity. This balancer's part of that budget follows from the work that a warm upstream
 * completes for it: summed over all balancers, this is the capacity, however unevenly traffic is
 * spread. Only completed work counts. If rejected work counted, a burst of rejections would raise
 * the budget.
 *
 * <p>A balancer does not see what others are sending at the moment, so random coincidence must not
 * exceed the budget either: see {@link #budgetRate}. The bucket starts at a random level, and
 * tokens that are not used soon expire. Otherwise, when the reports of an upstream show it idle,
 * all balancers would spend their saved tokens on it at once. Tokens for a mean request admit any
 * request, and an expensive one leaves the bucket in debt. Otherwise expensive requests, which bear
 * a slow upstream best, would never be sent to one.
 */
final class SlowStart {
    /** Safety margin of the budget of a cold upstream, in standard deviations. */
    private static final double MARGIN_DEVIATIONS = 5;

    /** Minimum size of a token bucket, in mean requests. */
    private static final double MIN_BUCKET_SIZE = 1.2;

    /** Weight of each period in the smoothed rates of completed work. */
    private static final double RATE_SMOOTHING = 0.08;

    /** Time after which unused tokens expire, microseconds. */
    private static final long UNUSED_TOKEN_LIFETIME_US = 250_000;

    private final RuleParameters rules;
    private final int groupSize;
    private final boolean isTotalLoadKnown;
    private final RequestStatistics statistics;
    private final LoadEstimator loads;
    private final SplittableRandom random;
    private long periodsWithRequests;

    /** Work that a warm upstream of rating 1 completes for this balancer per microsecond. */
    private double warmRate;

    SlowStart(
            Settings settings,
            LoadVisibility visibility,
            RequestStatistics statistics,
            LoadEstimator loads,
            SplittableRandom random) {
        this.rules = settings.rules();
        this.groupSize = settings.groupSize();
        this.isTotalLoadKnown = visibility.isComplete();
        this.statistics = statistics;
        this.loads = loads;
        this.random = random;
    }

    /** Fraction of its full capacity that an upstream has; rises to 1 with its age. */
    double capacityFraction(UpstreamState upstream, long nowUs) {
        double ageUs = Math.max(0, nowUs - upstream.endpoint.launchedAtUs());
        return upstream.endpoint.launchedAtUs() <= 0 || ageUs >= rules.slowStartDurationUs()
                ? 1
                : rules.initialCapacityFraction()
                        + (1 - rules.initialCapacityFraction())
                                * ageUs
                                / rules.slowStartDurationUs();
    }

    /** Sets the initial tokens of a newly listed upstream; draws a random number. */
    void initializeTokens(UpstreamState upstream, long nowUs) {
        upstream.slowStartTokens = initialTokens();
        upstream.slowStartTokensAtUs = nowUs;
        upstream.slowStartTokensUnusedSinceUs = nowUs;
    }

    /**
     * Whether an upstream is warm or its bucket has the tokens for a mean request. Refills the
     * bucket, and draws a random number if unused tokens expire.
     */
    boolean hasBudget(UpstreamState upstream, long nowUs) {
        double capacityFraction = capacityFraction(upstream, nowUs);
        if (capacityFraction >= 1) {
            return true;
        }
        if (isTotalLoadKnown
                && upstream.inFlight + loads.otherBalancersLoad(upstream, nowUs) >= 1) {
            return false;
        }
        double meanCost = statistics.meanCost();
        double rate = budgetRate(upstream, capacityFraction);
        double bucketSize = Math.max(rate * rules.overloadWindowUs(), MIN_BUCKET_SIZE * meanCost);
        upstream.slowStartTokens =
                Math.min(
                        bucketSize,
                        upstream.slowStartTokens + rate * (nowUs - upstream.slowStartTokensAtUs));
        upstream.slowStartTokensAtUs = nowUs;
        if (upstream.slowStartTokens < meanCost) {
            upstream.slowStartTokensUnusedSinceUs = nowUs;
        } else if (nowUs - upstream.slowStartTokensUnusedSinceUs > UNUSED_TOKEN_LIFETIME_US) {
            upstream.slowStartTokens = initialTokens();
            upstream.slowStartTokensUnusedSinceUs = nowUs;
        }
        return upstream.slowStartTokens >= meanCost;
    }

    private double initialTokens() {
        return statistics.meanCost() * (2 * random.nextDouble() - 1);
    }

    /**
     * Work per microsecond that this balancer may send to a cold upstream. The sends of all
     * balancers together are about a Poisson process. The target is the number of mean requests at
     * which {@link #MARGIN_DEVIATIONS} standard deviations more are still within the budget. A
     * fixed fraction would be too much of a small budget and would leave most of a large one
     * unused.
     */
    private double budgetRate(UpstreamState upstream, double capacityFraction) {
        double budget = rules.overloadMultiple() * capacityFraction * warmRate * upstream.rating;
        double requests =
                budget * groupSize * rules.overloadWindowUs() / Math.max(statistics.meanCost(), 1);
        double root =
                Math.sqrt(requests + MARGIN_DEVIATIONS * MARGIN_DEVIATIONS / 4)
                        - MARGIN_DEVIATIONS / 2;
        return requests > 0 ? budget * root * root / requests : 0;
    }

    /**
     * Takes a request's work from the bucket, and at least that of a mean request: requests with
     * hints small enough for the bucket cost more than their hint.
     */
    void charge(UpstreamState upstream, RequestState request) {
        upstream.slowStartTokens -= Math.max(request.cost, statistics.meanCost());
    }

    /**
     * Updates the smoothed rates of completed work at the end of a period. The first periods with
     * requests are averaged with equal weight. With smoothing from zero, a restarted balancer took
     * seconds to learn the rate of a warm upstream, and sent nothing to cold ones meanwhile.
     */
    void updateRates(List<UpstreamState> subset, long nowUs, long periodUs) {
        periodsWithRequests += statistics.hasRequests() ? 1 : 0;
        double weight = Math.max(RATE_SMOOTHING, 1.0 / Math.max(1, periodsWithRequests));
        double rateSum = 0;
        double ratingSum = 0;
        for (UpstreamState upstream : subset) {
            upstream.completedWorkRate +=
                    weight * (upstream.completedWork / periodUs - upstream.completedWorkRate);
            upstream.completedWork = 0;
            if (capacityFraction(upstream, nowUs) >= 1) {
                rateSum += upstream.completedWorkRate;
                ratingSum += upstream.rating;
            }
        }
        warmRate = ratingSum > 0 ? rateSum / ratingSum : warmRate;
    }
}
