package myrtleladder.replication;

import java.util.List;
import java.util.function.Consumer;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.View;

/**
 * The role of the primary: it confirms its epoch by heartbeats, replicates changes, and starts
 * another view when one is due.
 *
 * <p>One instance serves all views that this node leads. It keeps its state, such as a change in
 * flight, while the node is a candidate for its own next view, and drops it in {@link
 * #onPrimacyLost}. Confined to the event loop.
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
            quorum.resign("the disk does not answer");
            return;
        }
        if (quorum.isLeaving() && canHandOver(nowMs)) {
            quorum.resign("asked to end");
            return;
        }
        heartbeats.poll(nowMs);
        boolean started = viewChangeTrigger.replaceUnresponsiveReplica(nowMs);
        if (!started && !changeReplicator.isChangeInFlight()) {
            viewChangeTrigger.changeViewIfDue();
        }
    }

    /** Returns whether another replica stays, once members that leave had time to announce it. */
    private boolean canHandOver(long nowMs) {
        return nowMs - leadingSinceMs >= ReplicationTiming.HANDOVER_DELAY_MS
                && context.view().replicas.stream().anyMatch(this::isOtherThatStays);
    }

    private boolean isOtherThatStays(Member member) {
        return !context.isSelf(member) && !context.membershipRequests().isLeaving(member);
    }

    /** A view of this node is in effect; a change that it carries along is committed by it. */
    void onViewInstalled(View view) {
        context.contacts().watch(view.group, context.nowMs());
        leadingSinceMs = leadingSinceMs == NOT_LEADING ? context.nowMs() : leadingSinceMs;
        changeReplicator.finish(true);
    }

    /** This node is primary no more; the outcome of all that is in flight is unknown. */
    void onPrimacyLost() {
        leadingSinceMs = NOT_LEADING;
        context.membershipRequests().clear();
        context.contacts().clear(context.nowMs());
        context.contacts().watch(List.of(), context.nowMs());
        changeReplicator.finish(false);
        heartbeats.failConfirmations();
    }

    /** The process was paused: acknowledgements from before prove nothing. */
    void onProcessPaused(long nowMs) {
        context.contacts().clear(nowMs);
        heartbeats.sendAtNextPoll();
    }

    /**
     * Returns the replica that should lead next: the first that is not leaving, else the last that
     * is; null if there is no other.
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

    /** Takes the request of a node to be admitted to the group. */
    void onJoinRequested(Member member) {
        if (!context.view().group.contains(member)) {
            context.membershipRequests().join(member, context.nowMs());
        }
    }

    /** Takes the request of a member to be released; returns whether it is. */
    boolean onLeaveRequested(Member member) {
        View view = context.view();
        context.membershipRequests().leave(member, context.nowMs());
        return view.isGroupStable()
                && !view.group.contains(member)
                && !view.replicas.contains(member);
    }

    /** Returns the next group as far as it may change now. */
    ReconfigurationPlan reconfigurationPlan() {
        return viewChangeTrigger.reconfigurationPlan();
    }

    /** Returns whether a majority acknowledged a request that was sent a short while ago. */
    boolean isRecentlyConfirmed() {
        return heartbeats.isRecentlyConfirmed();
    }

    /** Asks a majority whether this node is still primary; the callback runs once. */
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
