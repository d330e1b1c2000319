package myrtleladder.loadbalancer.policy;

import java.util.SplittableRandom;

/** The subscription to the endpoint list, asked for again with exponential backoff and jitter. */
final class EndpointSubscription {
    /** Mean pause before the first new attempt, microseconds. */
    private static final long FIRST_BACKOFF_US = 1_000_000;

    /** Greatest mean pause, microseconds; an update has 6 s to come through. */
    private static final long LONGEST_BACKOFF_US = 2_000_000;

    private final boolean isEnabled;
    private final SplittableRandom random;
    private final LoadBalancer.Actions actions;
    private long backoffUs;
    private long retryAtUs = Long.MAX_VALUE;

    EndpointSubscription(boolean isEnabled, SplittableRandom random, LoadBalancer.Actions actions) {
        this.isEnabled = isEnabled;
        this.random = random;
        this.actions = actions;
    }

    void start() {
        if (isEnabled) {
            actions.watch(true);
        }
    }

    /** A call failed: plans the next one; draws a random number. */
    void recordFailure(long nowUs) {
        backoffUs = Math.min(LONGEST_BACKOFF_US, backoffUs == 0 ? FIRST_BACKOFF_US : 2 * backoffUs);
        retryAtUs = nowUs + Jitter.around(random, backoffUs);
    }

    /** A list or a change came. */
    void recordSuccess() {
        backoffUs = 0;
    }

    void retryIfDue(long nowUs) {
        if (isEnabled && nowUs >= retryAtUs) {
            retryAtUs = Long.MAX_VALUE;
            actions.watch(true);
        }
    }
}
