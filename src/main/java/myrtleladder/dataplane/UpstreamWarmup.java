package myrtleladder.dataplane;

import myrtleladder.protocol.InstanceRecord;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Whether an upstream may be cold, and how many requests this balancer may send there meanwhile.
 * All balancers together keep the bound without a message: a few of them own the budget of an
 * upstream ({@link WarmupOwnership}), each a fixed part of it, and the others send nothing. See
 * docs/warmup.md.
 *
 * <p>Confined to the event loop; belongs to one {@link Upstream}.
 */
final class UpstreamWarmup {
    private static final Logger LOG = LogManager.getLogger(UpstreamWarmup.class);

    /** No failure is known. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    /**
     * How long a new owner sends nothing: until the former owners have the list too (a poll's
     * timeout) and their last requests are a second old.
     */
    private static final long NEW_OWNER_DELAY_MS = 1_750;

    /** What is known; only a warm upstream is without a budget. */
    enum State {
        /** Not cold by its record, and nothing happened since that makes it doubtful. */
        WARM,
        /** Cold by its record, for a time that runs out here. */
        COLD,
        /** It failed here and may have come back cold; the primary has not confirmed it yet. */
        UNCONFIRMED,
        /** Lost by its record, until a heartbeat of it was received. */
        LOST
    }

    private final WarmupContext context;
    private final String id;
    private final long idHash;
    private final WarmupBudget budget = new WarmupBudget();
    private State state = State.WARM;
    private long coldUntilMs;
    private long failedAtMs = NEVER;
    private int allowance = WarmupSettings.UNLIMITED;
    private int rank;
    private boolean isOwner;
    private long ownerSinceMs;

    /** Creates the state of an upstream of which only the id is known yet. */
    UpstreamWarmup(WarmupContext context, String id) {
        this.context = context;
        this.id = id;
        this.idHash = StableHash.of(id);
    }

    private void transitionTo(State next) {
        if (state != next) {
            LOG.debug("{} is {} after {}", id, next, state);
            state = next;
        }
    }

    /** The state now, which may have ended by time. */
    State state(long nowMs) {
        if (state == State.COLD && nowMs >= coldUntilMs) {
            transitionTo(failedAtMs == NEVER ? State.WARM : State.UNCONFIRMED);
        }
        if (state == State.UNCONFIRMED && context.wasReportedSince(failedAtMs, nowMs)) {
            failedAtMs = NEVER;
            transitionTo(State.WARM);
        }
        return state;
    }

    /**
     * Takes a record of the upstream.
     *
     * @param isNewer whether it stems from a later heartbeat than all before; another record may
     *     come from a node that has not heard everything, so it ends nothing
     */
    void recordReceived(InstanceRecord record, boolean isNewer, long nowMs) {
        long untilMs = nowMs + record.warmupLeftMs();
        if (record.stage == InstanceRecord.Stage.LOST) {
            transitionTo(State.LOST);
        } else if (isNewer) {
            failedAtMs = NEVER;
            coldUntilMs = untilMs;
            transitionTo(untilMs > nowMs ? State.COLD : State.WARM);
        } else if (record.warmupLeftMs() > 0) {
            coldUntilMs = Math.max(coldUntilMs, untilMs);
            transitionTo(State.COLD);
        } else if (state == State.LOST) {
            failedAtMs = nowMs;
            transitionTo(State.UNCONFIRMED);
        }
    }

    /** The upstream may be down, or may have become cold unnoticed. */
    void markUnconfirmed(long nowMs) {
        failedAtMs = nowMs;
        if (state(nowMs) == State.WARM) {
            transitionTo(State.UNCONFIRMED);
        }
    }

    /**
     * Sets the requests a second that all balancers of the list may send while the upstream is not
     * warm.
     */
    void setAllowance(int value) {
        allowance = value;
        updateOwnership(context.ownership().changedAtMs());
    }

    /** Takes a new list of balancers, or the first one, which is in use since a time. */
    void updateOwnership(long sinceMs) {
        rank = context.ownership().rank(idHash);
        boolean wasOwner = isOwner;
        isOwner = rank < owners();
        if (isOwner && !wasOwner) {
            ownerSinceMs = sinceMs;
        }
    }

    private int owners() {
        return Math.min(allowance, context.ownership().balancers());
    }

    /** Whether there is a budget now. */
    boolean isLimited(long nowMs) {
        return allowance != WarmupSettings.UNLIMITED && state(nowMs) != State.WARM;
    }

    /**
     * Whether one more request may be sent now; counts if not.
     *
     * @param reserved requests that wait for a connection, which come first
     */
    boolean admits(int reserved, long nowMs) {
        boolean isAdmitted = !isLimited(nowMs) || budget.sent(nowMs) + reserved < share(nowMs);
        if (!isAdmitted) {
            context.counters().countWithheld();
        }
        return isAdmitted;
    }

    /** Records a request that is sent now, warm or not: the upstream may become cold just after. */
    void recordSent(long nowMs) {
        if (allowance == WarmupSettings.UNLIMITED) {
            return;
        }
        budget.record(nowMs);
        if (isLimited(nowMs)) {
            context.counters().countSent();
        }
    }

    /** Requests a second that this balancer may send; the first owners get what is left over. */
    private int share(long nowMs) {
        if (!isOwner || nowMs - ownerSinceMs < NEW_OWNER_DELAY_MS) {
            return 0;
        }
        int owners = owners();
        return allowance / owners + (rank < allowance % owners ? 1 : 0);
    }
}
