package myrtleladder.loadbalancer.server;

import java.util.concurrent.ThreadLocalRandom;

/** Pauses between failed calls: each up to twice the one before, spread by chance, and bounded. */
final class Backoff {
    private static final long FIRST_MS = 50;
    private static final long LONGEST_MS = 1_000;
    private long mean = FIRST_MS;

    /** The pause before the next call, in milliseconds. */
    long next() {
        long pause = mean / 2 + ThreadLocalRandom.current().nextLong(mean);
        mean = Math.min(LONGEST_MS, 2 * mean);
        return pause;
    }

    /** A call has succeeded. */
    void reset() {
        mean = FIRST_MS;
    }
}
