package myrtleladder.loadbalancer.server;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Exponential backoff with jitter for failed calls. The mean delay doubles with each failure up to
 * a maximum; each delay is drawn from 0.5 to 1.5 times the mean.
 *
 * <p>Not safe for use by several threads.
 */
final class Backoff {
    /** Mean delay after the first failure. */
    private static final long INITIAL_MEAN_MS = 50;

    /** Maximum mean delay. */
    private static final long MAX_MEAN_MS = 1_000;

    private long meanMs = INITIAL_MEAN_MS;

    /** Returns the delay before the next retry, in milliseconds, and doubles the mean. */
    long nextDelayMs() {
        long delayMs = meanMs / 2 + ThreadLocalRandom.current().nextLong(meanMs);
        meanMs = Math.min(MAX_MEAN_MS, 2 * meanMs);
        return delayMs;
    }

    /** Resets the mean delay after a successful call. */
    void reset() {
        meanMs = INITIAL_MEAN_MS;
    }
}
