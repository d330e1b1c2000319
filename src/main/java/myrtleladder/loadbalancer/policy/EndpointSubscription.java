package myrtleladder.loadbalancer.policy;

import java.util.SplittableRandom;

/** Subscribes to the endpoint list, and retries with exponential backoff and jitter. */
final class EndpointSubscription {
    /** Mean delay before the first retry, microseconds. */
    private static final long INITIAL_BACKOFF_US = 1_000_000;

    /**
     * Maximum mean delay, microseconds. Endpoint changes have to be received within 6 s, which must
     * leave time for a retry.
     */
    private static final long MAX_BACKOFF_US = 2_000_000;

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
            actions.setSubscribed(true);
        }
    }

    /** Records a failed call and schedules the next one; draws a random number. */
    void recordFailure(long nowUs) {
        backoffUs = Math.min(MAX_BACKOFF_US, backoffUs == 0 ? INITIAL_BACKOFF_US : 2 * backoffUs);
        retryAtUs = nowUs + Jitter.around(random, backoffUs);
    }

    /** Records that a list or a change was received. */
    void recordSuccess() {
        backoffUs = 0;
    }

    void retryIfDue(long nowUs) {
        if (isEnabled && nowUs >= retryAtUs) {
            retryAtUs = Long.MAX_VALUE;
            actions.setSubscribed(true);
        }
    }
}
