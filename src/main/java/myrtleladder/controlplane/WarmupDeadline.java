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
     * Applies the remaining warm-up from a newer heartbeat, 0 for none.
     *
     * @return whether balancers must receive the change: the instance became cold or warm, or this
     *     is a different warm-up
     */
    boolean update(long durationMs, long nowMs) {
        boolean hasChanged =
                durationMs > 0
                        ? endsAtMs <= nowMs
                                || Math.abs(nowMs + durationMs - endsAtMs) > TOLERANCE_MS
                        : endsAtMs - nowMs > TOLERANCE_MS;
        if (hasChanged) {
            endsAtMs = durationMs > 0 ? nowMs + durationMs : NO_WARMUP;
        }
        return hasChanged;
    }

    /**
     * Extends the warm-up to end no earlier than {@code durationMs} from now. Returns whether
     * balancers must receive the change.
     */
    boolean extend(long durationMs, long nowMs) {
        return durationMs > remainingMs(nowMs) && update(durationMs, nowMs);
    }

    /**
     * Returns the time for which the instance may still be cold, in milliseconds, 0 if it is warm.
     */
    long remainingMs(long nowMs) {
        return Math.max(0, endsAtMs + TOLERANCE_MS - nowMs);
    }
}
