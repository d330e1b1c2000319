package myrtleladder.loadbalancer.policy;

import java.util.Collection;

/**
 * Computes the weights of upstreams. In each period, the weight of an upstream below the mean
 * utilisation rises and that of one above it falls, by the distance from the mean. An upstream
 * without a fresh utilisation gets the mean weight.
 */
public final class UtilisationWeights {
    /** Change of the log weight in a period for a distance of 1 from the mean. */
    private static final double GAIN = 1;

    /** Fraction by which the log weight decays in each period. */
    private static final double DECAY = 0.02;

    /**
     * Maximum absolute log weight. At a bias of 4 this is equivalent to a factor of 4.5 on the
     * requests in flight, up or down.
     */
    private static final double MAX_LOG_WEIGHT = 6;

    private UtilisationWeights() {}

    /** The weight and the utilisation of one upstream. */
    public static class Weighted {
        /** Natural logarithm of the weight. */
        public double logWeight;

        /** Picks are in proportion to this weight. */
        public double weight = 1;

        /** Last utilisation, 0 to 1; NaN if there is no fresh one. */
        public double utilisation = Double.NaN;

        private boolean hasFreshUtilisation() {
            return !Double.isNaN(utilisation);
        }
    }

    /** Updates the weights at the end of a period. */
    public static void update(Collection<? extends Weighted> upstreams) {
        double sum = 0;
        int fresh = 0;
        for (Weighted upstream : upstreams) {
            sum += upstream.hasFreshUtilisation() ? upstream.utilisation : 0;
            fresh += upstream.hasFreshUtilisation() ? 1 : 0;
        }
        double mean = fresh == 0 ? 0 : sum / fresh;
        double logSum = 0;
        for (Weighted upstream : upstreams) {
            if (upstream.hasFreshUtilisation()) {
                adjustLogWeight(upstream, mean);
                logSum += upstream.logWeight;
            }
        }
        for (Weighted upstream : upstreams) {
            if (!upstream.hasFreshUtilisation()) {
                upstream.logWeight = fresh == 0 ? upstream.logWeight * (1 - DECAY) : logSum / fresh;
            }
            upstream.weight = Math.exp(upstream.logWeight);
        }
    }

    private static void adjustLogWeight(Weighted upstream, double mean) {
        double adjusted = upstream.logWeight * (1 - DECAY) + GAIN * (mean - upstream.utilisation);
        upstream.logWeight = Math.max(-MAX_LOG_WEIGHT, Math.min(MAX_LOG_WEIGHT, adjusted));
    }
}
