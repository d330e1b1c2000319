package myrtleladder.dataplane;

import java.util.ArrayDeque;

/** Counts the requests sent to one upstream in the last second. Confined to the event loop. */
final class SlidingWindowCounter {
    /** Length of the sliding window. */
    private static final long WINDOW_MS = 1_000;

    private final ArrayDeque<Long> timesMs = new ArrayDeque<>();

    /** Records a request that is sent now. */
    void record(long nowMs) {
        removeExpired(nowMs);
        timesMs.addLast(nowMs);
    }

    /** Number of requests sent in the second before {@code nowMs}. */
    int countInWindow(long nowMs) {
        removeExpired(nowMs);
        return timesMs.size();
    }

    private void removeExpired(long nowMs) {
        while (!timesMs.isEmpty() && nowMs - timesMs.peekFirst() > WINDOW_MS) {
            timesMs.removeFirst();
        }
    }
}
