package myrtleladder.dataplane;

/**
 * Tracks since when the same primary has responded to this balancer's polls without a gap. What the
 * primary did not report in that period did not happen. Times are milliseconds of the scheduler's
 * clock. Confined to the event loop.
 */
final class PrimaryContactTracker {
    /** Maximum time between two responses without a gap; allows for one failed poll. */
    private static final long MAX_GAP_MS = 1_500;

    private long epoch;
    private long continuousSinceMs;
    private long lastResponseMs;

    /** Records that the primary of an epoch responded to a poll. */
    void recordPollResponse(long responseEpoch, long nowMs) {
        if (responseEpoch != epoch || !isContinuous(nowMs)) {
            epoch = responseEpoch;
            continuousSinceMs = nowMs;
        }
        lastResponseMs = nowMs;
    }

    private boolean isContinuous(long nowMs) {
        return epoch > 0 && nowMs - lastResponseMs <= MAX_GAP_MS;
    }

    /**
     * Returns whether the primary has responded without a gap until now, for at least a duration
     * counted from {@code sinceMs} or from the first of these responses, whichever is later.
     */
    boolean wasContinuousFor(long durationMs, long sinceMs, long nowMs) {
        return isContinuous(nowMs) && nowMs - Math.max(sinceMs, continuousSinceMs) >= durationMs;
    }
}
