package myrtleladder.dataplane;

/**
 * Since when the primary has answered this balancer's polls without a gap, so that what it did not
 * report has not happened. Times are in milliseconds of the scheduler's clock. Confined to the
 * event loop.
 */
final class ControlContact {
    /** The longest time between two answers without a gap: a poll that failed and the next one. */
    private static final long MAX_GAP_MS = 1_500;

    private long epoch;
    private long unbrokenSinceMs;
    private long lastAnswerMs;

    /** The primary of an epoch answered a poll. */
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

    /** Whether one primary answered without a gap for a duration that began at a time or later. */
    boolean lasted(long durationMs, long sinceMs, long nowMs) {
        return isUnbroken(nowMs) && nowMs - Math.max(sinceMs, unbrokenSinceMs) >= durationMs;
    }
}
