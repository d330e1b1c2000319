package myrtleladder.loadbalancer.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Picks an upstream at random, in proportion to weight / (load + 1)^bias, from a sample of the
 * subset. Preferences are factors on the load: a preference of 2 compensates for twice the load.
 */
final class WeightedLeastLoadPicker {
    /**
     * Exponent of load and preferences. With 4, a clearly shorter queue is nearly always picked.
     */
    private static final double BIAS = 4;

    /** Preference for the upstream of a request's key. */
    private static final double AFFINITY_PREFERENCE = 2.5;

    /** Candidates of a random pick. The upstream of the key is always one of them. */
    private static final int SAMPLE_SIZE = 12;

    /** Preference for an upstream that has not answered since its ejection. */
    private static final double UNPROVEN_PREFERENCE = 0.74;

    /** The same for a request that is not idempotent. */
    private static final double UNPROVEN_PREFERENCE_NON_IDEMPOTENT = 0.38;

    /** Exponent of the fraction of attempts without an error. */
    private static final double SUCCESS_EXPONENT = 2;

    private final RendezvousSubsetting subsetting;
    private final UpstreamEligibility eligibility;
    private final AdmissionControl admission;
    private final SlowStart slowStart;
    private final LoadEstimator loads;
    private final ZonePreference zones;
    private final SplittableRandom random;

    WeightedLeastLoadPicker(
            RendezvousSubsetting subsetting,
            UpstreamEligibility eligibility,
            AdmissionControl admission,
            SlowStart slowStart,
            LoadEstimator loads,
            ZonePreference zones,
            SplittableRandom random) {
        this.subsetting = subsetting;
        this.eligibility = eligibility;
        this.admission = admission;
        this.slowStart = slowStart;
        this.loads = loads;
        this.zones = zones;
        this.random = random;
    }

    /** Picks an upstream that has capacity for the request now; null if there is none. */
    UpstreamState pickWithCapacity(RequestState request, long nowUs) {
        return pick(request, nowUs, true);
    }

    /** Picks an upstream for a retry, which does not wait for capacity; null if there is none. */
    UpstreamState pickForRetry(RequestState request, long nowUs) {
        return pick(request, nowUs, false);
    }

    private UpstreamState pick(RequestState request, long nowUs, boolean needsCapacity) {
        boolean isPanic = eligibility.isPanic(nowUs);
        List<UpstreamState> candidates = new ArrayList<>();
        for (UpstreamState upstream : subsetting.upstreams(nowUs)) {
            if (eligibility.isEligible(upstream, request, nowUs, isPanic)
                    && (!needsCapacity || admission.hasCapacity(upstream, request, nowUs))) {
                candidates.add(upstream);
            }
        }
        sample(candidates, request.affinityUpstream);
        double[] scores = new double[candidates.size()];
        double sum = 0;
        for (int i = 0; i < scores.length; i++) {
            scores[i] = score(candidates.get(i), request, nowUs);
            sum += scores[i];
        }
        return sum > 0 ? draw(candidates, scores, sum) : null;
    }

    private double score(UpstreamState upstream, RequestState request, long nowUs) {
        double preference =
                upstream.rating
                        * slowStart.capacityFraction(upstream, nowUs)
                        * Math.pow(1 - upstream.errorRate, SUCCESS_EXPONENT)
                        * zones.preference(upstream)
                        * (upstream == request.affinityUpstream ? AFFINITY_PREFERENCE : 1)
                        * unprovenPreference(upstream, request);
        double weight = upstream.weight * Math.pow(preference, BIAS);
        double load = loads.ownLoad(upstream) + loads.otherBalancersLoad(upstream, nowUs);
        return weight / Math.pow(load + 1, BIAS);
    }

    private static double unprovenPreference(UpstreamState upstream, RequestState request) {
        if (!upstream.isUnprovenSinceEjection()) {
            return 1;
        }
        return request.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT
                ? UNPROVEN_PREFERENCE_NON_IDEMPOTENT
                : UNPROVEN_PREFERENCE;
    }

    /**
     * Reduces the candidates to a random sample that includes the upstream of the key if it is a
     * candidate. Without a sample, that upstream competes with dozens of others in a large fleet,
     * so that a key is served everywhere and without a warm cache.
     */
    private void sample(List<UpstreamState> candidates, UpstreamState affinityUpstream) {
        if (candidates.size() <= SAMPLE_SIZE) {
            return;
        }
        Collections.swap(candidates, 0, Math.max(0, candidates.indexOf(affinityUpstream)));
        for (int i = 1; i < SAMPLE_SIZE; i++) {
            Collections.swap(candidates, i, i + random.nextInt(candidates.size() - i));
        }
        candidates.subList(SAMPLE_SIZE, candidates.size()).clear();
    }

    private UpstreamState draw(List<UpstreamState> candidates, double[] scores, double sum) {
        double remaining = random.nextDouble() * sum;
        UpstreamState last = null;
        for (int i = 0; i < scores.length && remaining >= 0; i++) {
            remaining -= scores[i];
            last = scores[i] > 0 ? candidates.get(i) : last;
        }
        return last;
    }
}
