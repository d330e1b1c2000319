package myrtleladder.controlplane;

/**
 * The time at which the warm-up of an instance ends, on the clock of this node. Heartbeats contain
 * the remaining time, so a network delay can only postpone the end. Confined to the event loop.
 */
final class WarmupDeadline {
    /**
     * Ends that differ by at most this much belong to the same warm-up, reported by heartbeats with
     * different network delays.
     */
    static final long TOLERANCE_MS = 200;

    /**
     * Stands for no warm-up; far enough from the limits of the range that differences do not
     * overflow.
     */
    private static final long NO_WARMUP = Long.MIN_VALUE / 2;

    private long endsAtMs = NO_WARMUP;

    /**
     * Applies the remaining time from a newer heartbeat, 0 for none.
     *
     * @return whether balancers must receive the change: the instance became cold or warm, or this
     *     is a different warm-up
     */
    boolean update(long remainingMs, long nowMs) {
        boolean hasChanged =
                remainingMs > 0
                        ? endsAtMs <= nowMs
                                || Math.abs(nowMs + remainingMs - endsAtMs) > TOLERANCE_MS
                        : endsAtMs - nowMs > TOLERANCE_MS;
        if (hasChanged) {
            endsAtMs = remainingMs > 0 ? nowMs + remainingMs : NO_WARMUP;
        }
        return hasChanged;
    }

    /**
     * Extends the warm-up to at least the remaining time. Returns whether balancers must receive
     * the change.
     */
    boolean extend(long remainingMs, long nowMs) {
        return remainingMs > remainingMs(nowMs) && update(remainingMs, nowMs);
    }

    /**
     * Returns the time for which the instance may still be cold, in milliseconds, 0 if it is warm.
     */
    long remainingMs(long nowMs) {
        return Math.max(0, endsAtMs + TOLERANCE_MS - nowMs);
    }
}
