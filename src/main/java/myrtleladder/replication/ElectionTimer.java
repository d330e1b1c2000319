package myrtleladder.replication;

import myrtleladder.scheduler.Scheduler;

/**
 * Records when this node last had contact with a primary or candidate, and decides when it may
 * become a candidate itself. One instance is kept across role changes.
 *
 * <p>Confined to the event loop. All times are in milliseconds of the scheduler's clock.
 */
final class ElectionTimer {
    /** Earlier than any clock time; half of the minimum so that differences do not overflow. */
    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    private final Scheduler scheduler;
    private long lastContactMs;
    private long lastPrimaryContactMs = NEVER_MS;
    private long electionTimeoutMs = ReplicationTiming.INITIAL_ELECTION_TIMEOUT_MS;
    private long suppressedUntilMs;

    ElectionTimer(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Restarts the election timeout. */
    void restart() {
        lastContactMs = scheduler.now();
    }

    /** Records a message from the primary of the current view. */
    void onPrimaryContact() {
        restart();
        lastPrimaryContactMs = lastContactMs;
        useFullTimeout();
    }

    /** Selects the election timeout for a group that has had a primary. */
    void useFullTimeout() {
        electionTimeoutMs = ReplicationTiming.ELECTION_TIMEOUT_MS;
    }

    /**
     * Selects the shorter timeout for a retry after an attempt that may succeed if it is repeated.
     */
    void useRetryTimeout() {
        electionTimeoutMs = ReplicationTiming.ELECTION_RETRY_TIMEOUT_MS;
    }

    /** Forbids candidacies of this node for the given duration. */
    void suppressCandidacy(long durationMs) {
        suppressedUntilMs = scheduler.now() + durationMs;
    }

    /** Returns whether candidacies are forbidden at the given time. */
    boolean isCandidacySuppressed(long nowMs) {
        return nowMs < suppressedUntilMs;
    }

    /** Returns whether the election timeout and an additional delay have passed. */
    boolean hasExpired(long nowMs, long additionalDelayMs) {
        return millisSinceContact(nowMs) > electionTimeoutMs + additionalDelayMs;
    }

    /** Returns the milliseconds since the last contact with a primary or candidate. */
    long millisSinceContact(long nowMs) {
        return nowMs - lastContactMs;
    }

    /** Returns whether the last message from a primary is more recent than the given duration. */
    boolean hadPrimaryContactWithin(long durationMs) {
        return scheduler.now() - lastPrimaryContactMs < durationMs;
    }
}
