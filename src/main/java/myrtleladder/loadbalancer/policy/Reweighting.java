package myrtleladder.loadbalancer.policy;

import java.util.Collection;

/**
 * The weights of upstreams: each period those below the mean utilisation of the fresh figures gain
 * and those above it lose, in proportion to their distance from it; one without a fresh figure
 * takes the mean weight.
 */
public final class Reweighting {
    private static final double GAIN =
            1; // change of the log weight per period, for 1.0 off the mean
    private static final double LEAK = 0.02; // share of the log weight forgotten each period
    private static final double CLAMP =
            6; // bound of the log weight: 4.5 times as many in flight either way

    private Reweighting() {}

    /** What is kept of one upstream. */
    public static class Weighed {
        /** The weight's logarithm. */
        public double logWeight;

        /** The weight by which picks go. */
        public double weight = 1;

        /** The last figure, 0 to 1; NaN if there is no fresh one. */
        public double utilisation = Double.NaN;
    }

    /** Carries out one period. */
    public static void period(Collection<? extends Weighed> upstreams) {
        double sum = 0;
        int fresh = 0;
        for (Weighed up : upstreams) {
            sum += Double.isNaN(up.utilisation) ? 0 : up.utilisation;
            fresh += Double.isNaN(up.utilisation) ? 0 : 1;
        }
        double mean = fresh == 0 ? 0 : sum / fresh;
        double logSum = 0;
        for (Weighed up : upstreams) {
            if (!Double.isNaN(up.utilisation)) {
                double moved = up.logWeight * (1 - LEAK) + GAIN * (mean - up.utilisation);
                up.logWeight = Math.max(-CLAMP, Math.min(CLAMP, moved));
                logSum += up.logWeight;
            }
        }
        for (Weighed up : upstreams) {
            if (Double.isNaN(up.utilisation)) {
                up.logWeight = fresh == 0 ? up.logWeight * (1 - LEAK) : logSum / fresh;
            }
            up.weight = Math.exp(up.logWeight);
        }
    }
}
