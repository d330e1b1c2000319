package myrtleladder.loadbalancer.policy;

import java.util.Collection;

/**
 * The weights of upstreams: in each period those below the mean utilisation of the fresh figures
 * gain and those above it lose, in proportion to their distance from it; one without a fresh figure
 * takes the mean weight.
 */
public final class UtilisationWeights {
    /** Change of the log weight in a period, for a distance of 1.0 from the mean. */
    private static final double GAIN = 1;

    /** Share of the log weight that is forgotten each period. */
    private static final double LEAK = 0.02;

    /** Bound of the log weight; 4.5 times as many in flight either way. */
    private static final double GREATEST_LOG_WEIGHT = 6;

    private UtilisationWeights() {}

    /** What is kept of one upstream. */
    public static class Weighted {
        /** The weight's natural logarithm. */
        public double logWeight;

        /** The weight by which picks go. */
        public double weight = 1;

        /** The last figure, 0 to 1; NaN if there is no fresh one. */
        public double utilisation = Double.NaN;

        private boolean hasFreshUtilisation() {
            return !Double.isNaN(utilisation);
        }
    }

    /** Carries out one period. */
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
                moveByDistance(upstream, mean);
                logSum += upstream.logWeight;
            }
        }
        for (Weighted upstream : upstreams) {
            if (!upstream.hasFreshUtilisation()) {
                upstream.logWeight = fresh == 0 ? upstream.logWeight * (1 - LEAK) : logSum / fresh;
            }
            upstream.weight = Math.exp(upstream.logWeight);
        }
    }

    private static void moveByDistance(Weighted upstream, double mean) {
        double moved = upstream.logWeight * (1 - LEAK) + GAIN * (mean - upstream.utilisation);
        upstream.logWeight = Math.max(-GREATEST_LOG_WEIGHT, Math.min(GREATEST_LOG_WEIGHT, moved));
    }
}
