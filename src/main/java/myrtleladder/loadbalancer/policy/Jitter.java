package myrtleladder.loadbalancer.policy;

import java.util.SplittableRandom;

/** Random periods, which keep balancers from acting at the same moments. */
final class Jitter {
    private Jitter() {}

    /** Draws a random period from half to one and a half times the mean, in the mean's unit. */
    static long around(SplittableRandom random, long mean) {
        return mean / 2 + random.nextLong(mean);
    }
}
