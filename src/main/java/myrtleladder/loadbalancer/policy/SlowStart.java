package myrtleladder.loadbalancer.policy;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Slow start: an upstream that was launched recently has a fraction of its capacity, and gets work
 * through a token bucket.
 *
 * <p>A cold upstream takes {@link RuleFigures#fallMultiple} times its capacity at most. Our part
 * follows from what a warm one does for us: over all balancers this sums to the capacity, however
 * unevenly traffic is spread. Work that was sent and rejected does not count, or a storm of
 * rejections would swell the budget.
 *
 * <p>Nobody sees what the others send at this moment, so chance must not break the budget either:
 * see {@link #budgetRate}. The bucket starts at random, and what is saved is forgotten unless used
 * soon: all balancers take to the same upstream when its reports show it idle, and would all have
 * saved for it. A mean request's budget lets any request go and an expensive one leaves a debt, or
 * those that can best bear a slow upstream would never go to one.
 */
final class SlowStart {
    /** Standard deviations kept free of a cold upstream's budget. */
    private static final double KEPT_DEVIATIONS = 5;

    /** Least bucket of a cold upstream, in mean requests. */
    private static final double LEAST_BUCKET = 1.2;

    /** Smoothing of each period into the rates of work completed. */
    private static final double RATE_SMOOTHING = 0.08;

    /** Saved budget that is not used for so long is forgotten, microseconds. */
    private static final long UNUSED_BUDGET_LIFETIME_US = 250_000;

    private final RuleFigures rules;
    private final int groupSize;
    private final boolean isLoadOfOthersKnown;
    private final RequestStatistics statistics;
    private final LoadEstimator loads;
    private final SplittableRandom random;
    private long periodsWithRequests;

    /** Work that a warm upstream of rating 1 completes for this balancer in a microsecond. */
    private double warmRate;

    SlowStart(
            Settings settings,
            LoadVisibility visibility,
            RequestStatistics statistics,
            LoadEstimator loads,
            SplittableRandom random) {
        this.rules = settings.rules();
        this.groupSize = settings.groupSize();
        this.isLoadOfOthersKnown = visibility.isComplete();
        this.statistics = statistics;
        this.loads = loads;
        this.random = random;
    }

    /** Share of its full capacity that an upstream has, rising with its age to 1. */
    double factor(UpstreamState upstream, long nowUs) {
        double ageUs = Math.max(0, nowUs - upstream.endpoint.launchedAtUs());
        return upstream.endpoint.launchedAtUs() <= 0 || ageUs >= rules.slowStartUs()
                ? 1
                : rules.startCapacity() + (1 - rules.startCapacity()) * ageUs / rules.slowStartUs();
    }

    /** Gives a newly listed upstream its first tokens; draws a random number. */
    void fillFirst(UpstreamState upstream, long nowUs) {
        upstream.slowStartTokens = firstTokens();
        upstream.slowStartTokensAtUs = nowUs;
        upstream.slowStartTokensUnusedSinceUs = nowUs;
    }

    /**
     * Whether an upstream is warm or its bucket has enough for a mean request. Fills the bucket,
     * and draws a random number where unused budget is forgotten.
     */
    boolean hasRoom(UpstreamState upstream, long nowUs) {
        double factor = factor(upstream, nowUs);
        if (factor >= 1) {
            return true;
        }
        if (isLoadOfOthersKnown && upstream.inFlight + loads.loadOfOthers(upstream, nowUs) >= 1) {
            return false;
        }
        double meanCost = statistics.meanCost();
        double rate = budgetRate(upstream, factor);
        double most = Math.max(rate * rules.overloadWindowUs(), LEAST_BUCKET * meanCost);
        upstream.slowStartTokens =
                Math.min(
                        most,
                        upstream.slowStartTokens + rate * (nowUs - upstream.slowStartTokensAtUs));
        upstream.slowStartTokensAtUs = nowUs;
        if (upstream.slowStartTokens < meanCost) {
            upstream.slowStartTokensUnusedSinceUs = nowUs;
        } else if (nowUs - upstream.slowStartTokensUnusedSinceUs > UNUSED_BUDGET_LIFETIME_US) {
            upstream.slowStartTokens = firstTokens();
            upstream.slowStartTokensUnusedSinceUs = nowUs;
        }
        return upstream.slowStartTokens >= meanCost;
    }

    private double firstTokens() {
        return statistics.meanCost() * (2 * random.nextDouble() - 1);
    }

    /**
     * Work that we may send to a cold upstream in a microsecond. All balancers together send about
     * at random; so many mean requests are aimed at that {@link #KEPT_DEVIATIONS} standard
     * deviations more are within the budget. A fixed part of the budget is too much of a small one,
     * and leaves most of a large one idle.
     */
    private double budgetRate(UpstreamState upstream, double factor) {
        double budget = rules.overloadMultiple() * factor * warmRate * upstream.rating;
        double requests =
                budget * groupSize * rules.overloadWindowUs() / Math.max(statistics.meanCost(), 1);
        double root =
                Math.sqrt(requests + KEPT_DEVIATIONS * KEPT_DEVIATIONS / 4) - KEPT_DEVIATIONS / 2;
        return requests > 0 ? budget * root * root / requests : 0;
    }

    /**
     * Takes a request's work from the bucket. At least a mean request: those with hints small
     * enough for the bucket cost more than they say.
     */
    void charge(UpstreamState upstream, RequestState request) {
        upstream.slowStartTokens -= Math.max(request.cost, statistics.meanCost());
    }

    /**
     * Smooths the rates at the end of a period, the first ones as a plain mean since requests come:
     * from nothing, it took a restarted balancer seconds to see what a warm upstream does, and cold
     * ones got nothing meanwhile.
     */
    void measureRates(List<UpstreamState> subset, long nowUs, long periodUs) {
        periodsWithRequests += statistics.hasRequests() ? 1 : 0;
        double share = Math.max(RATE_SMOOTHING, 1.0 / Math.max(1, periodsWithRequests));
        double sum = 0;
        double ratings = 0;
        for (UpstreamState upstream : subset) {
            upstream.completedWorkRate +=
                    share * (upstream.completedWork / periodUs - upstream.completedWorkRate);
            upstream.completedWork = 0;
            if (factor(upstream, nowUs) >= 1) {
                sum += upstream.completedWorkRate;
                ratings += upstream.rating;
            }
        }
        warmRate = ratings > 0 ? sum / ratings : warmRate;
    }
}
