package myrtleladder.loadbalancer.policy;

import java.util.SplittableRandom;

/** Random periods, so that balancers drift apart. */
final class Jitter {
    private Jitter() {}

    /** A random period from half to one and a half of the mean, in the unit of the mean. */
    static long around(SplittableRandom random, long mean) {
        return mean / 2 + random.nextLong(mean);
    }
}
