package myrtleladder.dataplane;

/**
 * Tracks since when the same primary has responded to this balancer's polls without a gap. An event
 * in that period that the primary did not report can be taken not to have happened. Times are
 * milliseconds of the scheduler's clock. Confined to the event loop.
 */
final class ControlContact {
    /** Maximum time between two responses without a gap; allows for one failed poll. */
    private static final long MAX_GAP_MS = 1_500;

    private long epoch;
    private long unbrokenSinceMs;
    private long lastAnswerMs;

    /** Records that the primary of an epoch responded to a poll. */
    void pollAnswered(long answeredEpoch, long nowMs) {
        if (answeredEpoch != epoch || !isUnbroken(nowMs)) {
            epoch = answeredEpoch;
            unbrokenSinceMs = nowMs;
        }
        lastAnswerMs = nowMs;
    }

    private boolean isUnbroken(long nowMs) {
        return epoch > 0 && nowMs - lastAnswerMs <= MAX_GAP_MS;
    }

    /**
     * Returns whether the primary has responded without a gap until now, for at least a duration
     * counted from {@code sinceMs} or from the first of these responses, whichever is later.
     */
    boolean lasted(long durationMs, long sinceMs, long nowMs) {
        return isUnbroken(nowMs) && nowMs - Math.max(sinceMs, unbrokenSinceMs) >= durationMs;
    }
}
