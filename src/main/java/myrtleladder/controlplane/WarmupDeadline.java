package myrtleladder.controlplane;

/**
 * When the warm-up of an instance ends, on the clock of this node. Heartbeats state the remaining
 * time; a delay on their way only makes the end later. Confined to the event loop.
 */
final class WarmupDeadline {
    /** Ends that differ by no more are those of one warm-up, told by heartbeats of other delays. */
    static final long TOLERANCE_MS = 200;

    /** The end of a warm-up that never was, far enough from both ends of the range. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private long endsAtMs = NEVER;

    /**
     * Takes the remaining time that a newer heartbeat states, 0 for none.
     *
     * @return whether balancers have to learn of it: the instance became cold or warm, or it is
     *     another warm-up
     */
    boolean replace(long leftMs, long nowMs) {
        boolean hasChanged =
                leftMs > 0
                        ? endsAtMs <= nowMs || Math.abs(nowMs + leftMs - endsAtMs) > TOLERANCE_MS
                        : endsAtMs - nowMs > TOLERANCE_MS;
        if (hasChanged) {
            endsAtMs = leftMs > 0 ? nowMs + leftMs : NEVER;
        }
        return hasChanged;
    }

    /** Extends the warm-up to a time from now if it would end earlier; whether that is news. */
    boolean extend(long leftMs, long nowMs) {
        return leftMs > remainingMs(nowMs) && replace(leftMs, nowMs);
    }

    /** The time for which the instance may still be cold, in milliseconds; 0 if it is warm. */
    long remainingMs(long nowMs) {
        return Math.max(0, endsAtMs + TOLERANCE_MS - nowMs);
    }
}
