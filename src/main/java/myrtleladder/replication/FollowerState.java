package myrtleladder.replication;

import myrtleladder.protocol.View;

/**
 * The role of a member that follows a primary or waits for one. A follower that is a replica
 * becomes a candidate when the election timeout passes without contact. Confined to the event loop.
 */
final class FollowerState implements RoleState {
    private final ReplicaContext context;
    private final QuorumState quorum;
    private final JoinRequester joinRequester;

    FollowerState(ReplicaContext context, QuorumState quorum, JoinRequester joinRequester) {
        this.context = context;
        this.quorum = quorum;
        this.joinRequester = joinRequester;
    }

    @Override
    public Replica.State state() {
        return Replica.State.FOLLOWER;
    }

    @Override
    public void poll(long nowMs) {
        boolean isVoter = context.viewTracker().isVoter();
        if (!isVoter || hasLostPrimaryContact(nowMs)) {
            joinRequester.poll(nowMs);
        }
        if (isVoter && isEligible() && mayBecomeCandidate(nowMs)) {
            quorum.transitionToCandidate(
                    true, "no contact with a primary within the election timeout");
        }
    }

    private boolean hasLostPrimaryContact(long nowMs) {
        return context.electionTimer().millisSinceContact(nowMs)
                > ReplicationTiming.PRIMARY_LOOKUP_TIMEOUT_MS;
    }

    /**
     * Returns whether this node is a replica of the latest known or stored view. If a later view
     * exists, the members that respond to the prepare request report it.
     */
    private boolean isEligible() {
        View accepted = context.storedState().acceptedView;
        return context.viewTracker().isReplica()
                || (accepted != null && accepted.replicas.contains(context.self()));
    }

    private boolean mayBecomeCandidate(long nowMs) {
        ElectionTimer timer = context.electionTimer();
        return !timer.isCandidacySuppressed(nowMs)
                && !context.persistentState().isStalled()
                && timer.hasExpired(nowMs, electionDelayMs());
    }

    /**
     * Returns the delay added to the election timeout for this node's rank in the view, and if it
     * is leaving.
     */
    private long electionDelayMs() {
        View view = context.view();
        int position = view.replicas.indexOf(context.self());
        int rank = position >= 0 ? position : view.replicas.size();
        long leavingDelayMs = quorum.isLeaving() ? ReplicationTiming.LEAVING_ELECTION_DELAY_MS : 0;
        return leavingDelayMs + rank * ReplicationTiming.ELECTION_TIMEOUT_PER_RANK_MS;
    }
}
