package myrtleladder.replication;

import myrtleladder.scheduler.Scheduler;

/**
 * When this node last had contact with a primary or candidate, and when it may become a candidate
 * itself. Survives changes of the role.
 *
 * <p>Confined to the event loop. All times are in milliseconds of the scheduler's clock.
 */
final class ElectionTimer {
    /** Long before any time of the clock, without overflow in differences. */
    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    private final Scheduler scheduler;
    private long lastContactMs;
    private long primaryHeardAtMs = NEVER_MS;
    private long electionTimeoutMs = ReplicationTiming.INITIAL_ELECTION_TIMEOUT_MS;
    private long suppressedUntilMs;

    ElectionTimer(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Counts the election timeout from now on. */
    void restart() {
        lastContactMs = scheduler.now();
    }

    /** Takes note of a message from the primary of the current view. */
    void onPrimaryHeard() {
        restart();
        primaryHeardAtMs = lastContactMs;
        useFullTimeout();
    }

    /** Uses the election timeout of a group that had a primary. */
    void useFullTimeout() {
        electionTimeoutMs = ReplicationTiming.ELECTION_TIMEOUT_MS;
    }

    /** Uses the short timeout after an attempt that may succeed if it is repeated. */
    void useRetryTimeout() {
        electionTimeoutMs = ReplicationTiming.ELECTION_RETRY_TIMEOUT_MS;
    }

    /** Permits no candidacy for the given time from now on. */
    void suppress(long durationMs) {
        suppressedUntilMs = scheduler.now() + durationMs;
    }

    /** Returns whether a candidacy is not permitted at the given time. */
    boolean isSuppressed(long nowMs) {
        return nowMs < suppressedUntilMs;
    }

    /** Returns whether the election timeout and an additional delay have passed. */
    boolean hasExpired(long nowMs, long additionalDelayMs) {
        return millisSinceContact(nowMs) > electionTimeoutMs + additionalDelayMs;
    }

    /** Returns the time since the last contact with a primary or candidate. */
    long millisSinceContact(long nowMs) {
        return nowMs - lastContactMs;
    }

    /** Returns whether a primary was heard less than the given time ago. */
    boolean hasHeardPrimaryWithin(long durationMs) {
        return scheduler.now() - primaryHeardAtMs < durationMs;
    }
}
