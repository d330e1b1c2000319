package myrtleladder.loadbalancer.server;

/**
 * Unix time in microseconds that never steps: the wall clock is read once, at creation, and
 * advances from there with the monotonic clock. The clock of the decision module, and of the start
 * times of upstreams. Safe for use by several threads.
 */
final class MonotonicClock {
    private final long epochUs = System.currentTimeMillis() * 1_000;
    private final long originNanos = System.nanoTime();

    /** The current time in microseconds since the Unix epoch. */
    long nowUs() {
        return epochUs + (System.nanoTime() - originNanos) / 1_000;
    }
}
