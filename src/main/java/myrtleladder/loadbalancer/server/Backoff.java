package myrtleladder.loadbalancer.server;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Exponential backoff with jitter between failed calls: the mean doubles with each failure up to a
 * bound, and a delay is between half and one and a half of its mean.
 *
 * <p>Not safe for use by several threads.
 */
final class Backoff {
    /** Mean of the first delay. */
    private static final long INITIAL_MEAN_MS = 50;

    /** Bound of the mean. */
    private static final long MAX_MEAN_MS = 1_000;

    private long meanMs = INITIAL_MEAN_MS;

    /** The delay before the next call, in milliseconds. */
    long nextDelayMs() {
        long delayMs = meanMs / 2 + ThreadLocalRandom.current().nextLong(meanMs);
        meanMs = Math.min(MAX_MEAN_MS, 2 * meanMs);
        return delayMs;
    }

    /** A call has succeeded. */
    void reset() {
        meanMs = INITIAL_MEAN_MS;
    }
}
