package myrtleladder.cluster;

/**
 * Limits how many datagrams are read in each interval, so that a flood costs the event loop no more
 * than that. Not thread-safe.
 */
final class ReceiveRateLimiter {
    private final int maxPerInterval;
    private final long intervalNanos;
    private long intervalStartNanos;
    private int receivedInInterval;
    private long droppedCount;

    ReceiveRateLimiter(int maxPerInterval, long intervalNanos) {
        this.maxPerInterval = maxPerInterval;
        this.intervalNanos = intervalNanos;
    }

    /** Whether a datagram that has come may be read; counts it as dropped if not. */
    boolean tryAcquire(long nowNanos) {
        if (nowNanos - intervalStartNanos > intervalNanos) {
            intervalStartNanos = nowNanos;
            receivedInInterval = 0;
        }
        receivedInInterval++;
        if (receivedInInterval > maxPerInterval) {
            droppedCount++;
            return false;
        }
        return true;
    }

    long droppedCount() {
        return droppedCount;
    }
}
