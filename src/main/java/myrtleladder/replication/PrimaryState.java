package myrtleladder.replication;

import java.util.List;
import java.util.function.Consumer;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.View;

/**
 * The primary role: confirms its epoch by heartbeats, replicates changes, and starts a view change
 * when one is due.
 *
 * <p>One instance is used for all views of which this node is the primary. It keeps its state, such
 * as a change in flight, while the node is a candidate for its own next view, and discards it in
 * {@link #onPrimacyLost}. Confined to the event loop.
 */
final class PrimaryState implements RoleState {
    private static final long NOT_LEADING = -1;

    private final ReplicaContext context;
    private final QuorumState quorum;
    private final PrimaryHeartbeats heartbeats;
    private final ViewChangeTrigger viewChangeTrigger;
    private final ChangeReplicator changeReplicator;
    private long leadingSinceMs = NOT_LEADING;

    PrimaryState(ReplicaContext context, QuorumState quorum) {
        this.context = context;
        this.quorum = quorum;
        this.heartbeats = new PrimaryHeartbeats(context, quorum);
        this.viewChangeTrigger = new ViewChangeTrigger(context, quorum);
        this.changeReplicator = new ChangeReplicator(context, quorum, viewChangeTrigger);
    }

    @Override
    public Replica.State state() {
        return Replica.State.PRIMARY;
    }

    @Override
    public void poll(long nowMs) {
        context.membershipRequests().expire(nowMs);
        if (context.persistentState().isStalled()) {
            quorum.resign("the storage is stalled");
            return;
        }
        if (quorum.isLeaving() && canHandOver(nowMs)) {
            quorum.resign("this node is shutting down");
            return;
        }
        heartbeats.poll(nowMs);
        boolean started = viewChangeTrigger.replaceUnresponsiveReplica(nowMs);
        if (!started && !changeReplicator.isChangeInFlight()) {
            viewChangeTrigger.changeViewIfDue();
        }
    }

    /**
     * Returns whether another replica is staying, after leaving members have had time to announce
     * it.
     */
    private boolean canHandOver(long nowMs) {
        return nowMs - leadingSinceMs >= ReplicationTiming.HANDOVER_DELAY_MS
                && context.view().replicas.stream().anyMatch(this::isOtherStayingReplica);
    }

    private boolean isOtherStayingReplica(Member member) {
        return !context.isSelf(member) && !context.membershipRequests().isLeaving(member);
    }

    /**
     * Called when this node has installed a view, which commits a change in flight since the view's
     * state includes it.
     */
    void onViewInstalled(View view) {
        context.memberContacts().track(view.group, context.nowMs());
        leadingSinceMs = leadingSinceMs == NOT_LEADING ? context.nowMs() : leadingSinceMs;
        changeReplicator.completePending(true);
    }

    /**
     * Called when this node is no longer primary. The outcome of any change in flight is unknown.
     */
    void onPrimacyLost() {
        leadingSinceMs = NOT_LEADING;
        context.membershipRequests().clear();
        context.memberContacts().clear(context.nowMs());
        context.memberContacts().track(List.of(), context.nowMs());
        changeReplicator.completePending(false);
        heartbeats.failConfirmations();
    }

    /**
     * Called after the process was paused. Acknowledgements from before the pause are discarded.
     */
    void onProcessPaused(long nowMs) {
        context.memberContacts().clear(nowMs);
        heartbeats.sendAtNextPoll();
    }

    /**
     * Returns the replica that should become primary next: the first one that is not leaving,
     * otherwise the last one; null if there is no other replica.
     */
    Member chooseSuccessor() {
        Member leavingSuccessor = null;
        for (Member replica : context.view().replicas) {
            if (context.isSelf(replica)) {
                continue;
            }
            if (!context.membershipRequests().isLeaving(replica)) {
                return replica;
            }
            leavingSuccessor = replica;
        }
        return leavingSuccessor;
    }

    /** Records the join request of a node that is not in the group. */
    void onJoinRequested(Member member) {
        if (!context.view().group.contains(member)) {
            context.membershipRequests().recordJoin(member, context.nowMs());
        }
    }

    /**
     * Records a leave request. Returns whether the node is released: the group is stable and no
     * longer includes it.
     */
    boolean onLeaveRequested(Member member) {
        View view = context.view();
        context.membershipRequests().recordLeave(member, context.nowMs());
        return view.isGroupStable()
                && !view.group.contains(member)
                && !view.replicas.contains(member);
    }

    /** Returns the group change that may be made now. */
    ReconfigurationPlan reconfigurationPlan() {
        return viewChangeTrigger.reconfigurationPlan();
    }

    /**
     * Returns whether a majority has confirmed this primary recently; see {@link
     * PrimaryHeartbeats#isRecentlyConfirmed}.
     */
    boolean isRecentlyConfirmed() {
        return heartbeats.isRecentlyConfirmed();
    }

    /** Asks the group whether this node is still primary; see {@link PrimaryHeartbeats#confirm}. */
    void confirm(Consumer<Boolean> onConfirmed) {
        heartbeats.confirm(onConfirmed);
    }

    /** Returns whether a change is in flight. */
    boolean isChangeInFlight() {
        return changeReplicator.isChangeInFlight();
    }

    /** Replicates a change; see {@link Replica#submit}. */
    void submit(StateChange change, Consumer<Boolean> onCommitted) {
        changeReplicator.submit(change, onCommitted);
    }
}
