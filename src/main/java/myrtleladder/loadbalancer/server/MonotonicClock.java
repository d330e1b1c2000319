package myrtleladder.loadbalancer.server;

/**
 * Monotonic Unix time in microseconds: the wall clock is read once, at creation, and advanced by
 * the JVM's monotonic clock. Used by the decision module and for the start times of upstreams.
 * Thread-safe.
 */
final class MonotonicClock {
    private final long epochUs = System.currentTimeMillis() * 1_000;
    private final long originNanos = System.nanoTime();

    /** The current time in microseconds since the Unix epoch. */
    long nowUs() {
        return epochUs + (System.nanoTime() - originNanos) / 1_000;
    }
}
