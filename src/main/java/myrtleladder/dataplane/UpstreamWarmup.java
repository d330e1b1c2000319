package myrtleladder.dataplane;

import myrtleladder.protocol.InstanceRecord;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Tracks whether an upstream may be cold and limits the rate of requests that this balancer sends
 * there until it is warm. All balancers together observe the limit without exchanging messages: a
 * few of them own the budget of an upstream ({@link WarmupOwnership}), each a fixed fraction of it,
 * and the others send nothing. See docs/warmup.md.
 *
 * <p>Confined to the event loop; belongs to one {@link Upstream}.
 */
final class UpstreamWarmup {
    private static final Logger LOG = LogManager.getLogger(UpstreamWarmup.class);

    /** Value of {@code failedAtMs} if there is no unconfirmed failure. */
    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    /**
     * Time during which a new owner sends nothing: until the previous owners have received the new
     * list (a poll timeout) and their last requests are a second old.
     */
    private static final long NEW_OWNER_DELAY_MS = 1_750;

    /** Warm-up state of an upstream; requests are limited in every state but WARM. */
    enum State {
        /** Not cold according to its record, and no failure was observed since then. */
        WARM,
        /** Cold according to its record, for a time that is measured by the local clock. */
        COLD,
        /** It failed here and may have restarted cold, which the primary has not yet ruled out. */
        UNCONFIRMED,
        /** Lost according to its record, until a heartbeat from it is received. */
        LOST
    }

    private final WarmupContext context;
    private final String id;
    private final long idHash;
    private final SlidingWindowCounter sentRequests = new SlidingWindowCounter();
    private State state = State.WARM;
    private long coldUntilMs;
    private long failedAtMs = NEVER_MS;
    private int allowancePerSecond = WarmupSettings.UNLIMITED;
    private int ownershipRank;
    private boolean isOwner;
    private long ownerSinceMs;

    /** Creates the state of an upstream before its first record is applied. */
    UpstreamWarmup(WarmupContext context, String id) {
        this.context = context;
        this.id = id;
        this.idHash = StableHash.of(id);
    }

    private void transitionTo(State next) {
        if (state != next) {
            LOG.debug("upstream {} warm-up state is {}, previously {}", id, next, state);
            state = next;
        }
    }

    /** The state at the given time; performs transitions that are due. */
    State state(long nowMs) {
        if (state == State.COLD && nowMs >= coldUntilMs) {
            transitionTo(failedAtMs == NEVER_MS ? State.WARM : State.UNCONFIRMED);
        }
        if (state == State.UNCONFIRMED && context.hasConfirmationDelayPassed(failedAtMs, nowMs)) {
            failedAtMs = NEVER_MS;
            transitionTo(State.WARM);
        }
        return state;
    }

    /**
     * Applies a record of the upstream.
     *
     * @param isNewer whether the record contains a later heartbeat than all earlier ones; other
     *     records may come from a node with incomplete information and never lift the limit
     */
    void applyRecord(InstanceRecord record, boolean isNewer, long nowMs) {
        long newColdUntilMs = nowMs + record.warmupLeftMs();
        if (record.stage == InstanceRecord.Stage.LOST) {
            transitionTo(State.LOST);
        } else if (isNewer && record.warmupLeftMs() == 0) {
            failedAtMs = NEVER_MS;
            transitionTo(State.WARM);
        } else if (isNewer) {
            coldUntilMs = newColdUntilMs;
            transitionTo(State.COLD);
        } else if (record.warmupLeftMs() > 0) {
            coldUntilMs = Math.max(coldUntilMs, newColdUntilMs);
            transitionTo(State.COLD);
        } else if (state == State.LOST) {
            failedAtMs = nowMs;
            transitionTo(State.UNCONFIRMED);
        }
    }

    /** Records that the upstream may be down or may have become cold without being reported. */
    void markUnconfirmed(long nowMs) {
        failedAtMs = nowMs;
        if (state(nowMs) == State.WARM) {
            transitionTo(State.UNCONFIRMED);
        }
    }

    /**
     * Sets the number of requests per second that all listed balancers together may send while the
     * upstream is not warm, or {@link WarmupSettings#UNLIMITED}.
     */
    void setAllowancePerSecond(int value) {
        allowancePerSecond = value;
        updateOwnership(context.ownership().changedAtMs());
    }

    /** Recomputes the ownership; {@code sinceMs} is when the list of balancers changed. */
    void updateOwnership(long sinceMs) {
        ownershipRank = context.ownership().rank(idHash);
        boolean wasOwner = isOwner;
        isOwner = ownershipRank < ownerCount();
        if (isOwner && !wasOwner) {
            ownerSinceMs = sinceMs;
        }
    }

    private int ownerCount() {
        return Math.min(allowancePerSecond, context.ownership().balancerCount());
    }

    /** Whether requests to the upstream are limited now. */
    boolean isLimited(long nowMs) {
        return allowancePerSecond != WarmupSettings.UNLIMITED && state(nowMs) != State.WARM;
    }

    /**
     * Whether one more request may be sent now. If not, increments the counter of withheld
     * requests.
     *
     * @param connectingRequests requests that wait for a connection and are sent first
     */
    boolean admits(int connectingRequests, long nowMs) {
        boolean isAdmitted =
                !isLimited(nowMs)
                        || sentRequests.countInWindow(nowMs) + connectingRequests
                                < ownAllowancePerSecond(nowMs);
        if (!isAdmitted) {
            context.counters().countWithheld();
        }
        return isAdmitted;
    }

    /**
     * Records a request that is sent now. Requests to a warm upstream are recorded too, since it
     * may become cold immediately afterwards.
     */
    void recordSent(long nowMs) {
        if (allowancePerSecond == WarmupSettings.UNLIMITED) {
            return;
        }
        sentRequests.record(nowMs);
        if (isLimited(nowMs)) {
            context.counters().countSent();
        }
    }

    /** Requests per second that this balancer may send; the first owners get the remainder. */
    private int ownAllowancePerSecond(long nowMs) {
        if (!isOwner || nowMs - ownerSinceMs < NEW_OWNER_DELAY_MS) {
            return 0;
        }
        int ownerCount = ownerCount();
        return allowancePerSecond / ownerCount
                + (ownershipRank < allowancePerSecond % ownerCount ? 1 : 0);
    }
}
