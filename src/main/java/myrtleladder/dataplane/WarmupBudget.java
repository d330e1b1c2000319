package myrtleladder.dataplane;

import java.util.ArrayDeque;

/** The requests that were sent to one upstream in the last second. Confined to the event loop. */
final class WarmupBudget {
    /** The time in which sends are counted. */
    private static final long WINDOW_MS = 1_000;

    private final ArrayDeque<Long> sentAtMs = new ArrayDeque<>();

    /** Records a request that is sent now. */
    void record(long nowMs) {
        removeExpired(nowMs);
        sentAtMs.addLast(nowMs);
    }

    /** The number of requests that were sent in the second that ends now. */
    int sent(long nowMs) {
        removeExpired(nowMs);
        return sentAtMs.size();
    }

    private void removeExpired(long nowMs) {
        while (!sentAtMs.isEmpty() && nowMs - sentAtMs.peekFirst() > WINDOW_MS) {
            sentAtMs.removeFirst();
        }
    }
}
