package myrtleladder.replication;

import java.util.Collection;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.ResignRequest;
import myrtleladder.protocol.View;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Holds the current role of this replica and makes all transitions between roles.
 *
 * <pre>
 *   JOINING   -> FOLLOWER   a view includes this node in its group
 *   FOLLOWER  -> JOINING    a view does not include this node in its group
 *   FOLLOWER  -> CANDIDATE  election timeout, or the primary resigned
 *   CANDIDATE -> PRIMARY    its view is installed
 *   CANDIDATE -> FOLLOWER   the attempt failed, or another member prepared an epoch
 *   CANDIDATE -> JOINING    this node is no longer a member
 *   PRIMARY   -> CANDIDATE  a view change is due; a change in flight continues
 *   PRIMARY   -> FOLLOWER   it resigned, or another member prepared an epoch
 *   PRIMARY   -> JOINING    this node is no longer a member
 * </pre>
 *
 * <p>Invariants: a transition makes the new role current before the callbacks of the old one run. A
 * primary that is a candidate for its own next view keeps its primacy; only the transition to
 * follower or joining ends it. Confined to the event loop.
 */
final class QuorumState {
    private static final Logger LOG = LogManager.getLogger(Replica.class);

    private final ReplicaContext context;
    private final Replica.Listener listener;
    private final JoinRequester joinRequester;
    private final LeaveRequester leaveRequester;
    private final PrimaryState primaryState;
    private RoleState role;
    private boolean hasPrimacy;

    QuorumState(ReplicaContext context, Replica.Listener listener) {
        this.context = context;
        this.listener = listener;
        this.joinRequester = new JoinRequester(context, this);
        this.leaveRequester = new LeaveRequester(context, this);
        this.primaryState = new PrimaryState(context, this);
        this.role = new JoiningState(joinRequester);
    }

    /** Returns the current role. */
    Replica.State state() {
        return role.state();
    }

    /** Returns whether the current role is primary. */
    boolean isPrimary() {
        return role == primaryState;
    }

    /** Returns whether the current role is candidate. */
    boolean isCandidate() {
        return role instanceof CandidateState;
    }

    /**
     * Returns whether this node is the primary of an installed view, even while it is a candidate
     * for the next one.
     */
    boolean hasPrimacy() {
        return isPrimary() || (isCandidate() && hasPrimacy);
    }

    /** Returns whether this node is leaving the group. */
    boolean isLeaving() {
        return leaveRequester.isStarted();
    }

    /** Returns the primary role, which keeps its state while it is not the current role. */
    PrimaryState primaryState() {
        return primaryState;
    }

    /** Returns the requester that removes this node from the group. */
    LeaveRequester leaveRequester() {
        return leaveRequester;
    }

    /** Polls the current role for due work. */
    void poll(long nowMs) {
        role.poll(nowMs);
    }

    /**
     * Called after the process was paused: neither missing nor late messages are evidence about
     * other nodes.
     */
    void onProcessPaused(long nowMs) {
        context.electionTimer().restart();
        primaryState.onProcessPaused(nowMs);
    }

    /** Makes this node a follower if it is not one already. Ends a candidacy or primacy. */
    void transitionToFollower(String reason) {
        FollowerState follower = new FollowerState(context, this, joinRequester);
        if (transitionTo(follower, reason)) {
            endPrimacy();
        }
    }

    /** Makes this node a joining one if it is not already. Ends a candidacy or primacy. */
    void transitionToJoining(String reason) {
        if (transitionTo(new JoiningState(joinRequester), reason)) {
            endPrimacy();
        }
    }

    /**
     * Makes this node a candidate for the next view and starts the attempt.
     *
     * @param withPreVote whether to run a pre-vote first, which fails while a majority has contact
     *     with the primary
     */
    void transitionToCandidate(boolean withPreVote, String reason) {
        boolean baseViewInstalled = isPrimary();
        ReconfigurationPlan plan =
                baseViewInstalled
                        ? primaryState.reconfigurationPlan()
                        : ReconfigurationPlan.unchanged(context.view().group);
        CandidateState candidate =
                new CandidateState(context, this, plan, baseViewInstalled, withPreVote);
        transitionTo(candidate, reason);
        context.electionTimer().restart();
        candidate.start();
    }

    /**
     * Makes this node the primary of a view that it has installed.
     *
     * @param instances the upstream records that this node and the members that promised knew
     */
    void transitionToPrimary(View view, Collection<InstanceRecord> instances) {
        context.viewTracker().install(view);
        context.electionTimer().restart();
        context.electionTimer().useFullTimeout();
        transitionTo(primaryState, view.toString());
        hasPrimacy = true;
        primaryState.onViewInstalled(view);
        listener.onPrimacyGained(instances);
    }

    /** Replaces the role and returns true, unless the node already has a role of that kind. */
    private boolean transitionTo(RoleState next, String reason) {
        RoleState previous = role;
        if (previous.state() == next.state()) {
            return false;
        }
        role = next;
        long epoch = context.storedState().promisedEpoch;
        LOG.info("role {} -> {}, epoch {}: {}", previous.state(), next.state(), epoch, reason);
        previous.close();
        return true;
    }

    private void endPrimacy() {
        primaryState.onPrimacyLost();
        if (hasPrimacy) {
            hasPrimacy = false;
            listener.onPrimacyLost();
        }
    }

    /**
     * Called when a candidacy failed.
     *
     * @param retrySoon whether another attempt may succeed, so that the shorter election timeout
     *     applies
     */
    void onCandidacyFailed(String reason, boolean retrySoon) {
        context.electionTimer().restart();
        if (retrySoon) {
            context.electionTimer().useRetryTimeout();
        } else {
            context.electionTimer().useFullTimeout();
        }
        if (context.viewTracker().isVoter()) {
            transitionToFollower(reason);
        } else {
            transitionToJoining(reason);
        }
    }

    /**
     * Called when a candidacy failed because this node is not a replica of a later view, which may
     * have committed changes.
     */
    void onNotEligible(View later) {
        onViewLearned(later);
        context.electionTimer().suppressCandidacy(ReplicationTiming.INELIGIBLE_BACKOFF_MS);
        onCandidacyFailed("not a replica of " + later, false);
    }

    /**
     * Called when a member rejected a request of this primary because it has promised a higher
     * epoch.
     */
    void onHigherEpochPromised(long epoch) {
        context.electionTimer().restart();
        transitionToFollower("a member promised epoch " + epoch + " to another candidate");
    }

    /** Called before this node promises an epoch to a candidate. */
    void onEpochPrepared(long epoch, Member candidate) {
        context.electionTimer().restart();
        if (isPrimary() || isCandidate()) {
            transitionToFollower(candidate + " is preparing epoch " + epoch);
        }
    }

    /** Called when another node reported a view. Adopts it if it is later than the known one. */
    void onViewLearned(View view) {
        if (!context.viewTracker().updateIfLater(view)) {
            return;
        }
        boolean isVoter = context.viewTracker().isVoter();
        if (role instanceof FollowerState && !isVoter) {
            transitionToJoining("not in the group of the view " + view);
        } else if (role instanceof JoiningState && isVoter) {
            transitionToFollower("in the group of the view " + view);
        }
    }

    /** Called when the primary of a view sent it to this node. */
    void onPrimaryContact(View view) {
        onViewLearned(view);
        context.electionTimer().onPrimaryContact();
        if (view.group.contains(context.self())) {
            transitionToFollower("following primary " + view.primary);
        } else if (isPrimary() || isCandidate()) {
            transitionToJoining("not in the group of the view " + view);
        }
    }

    /**
     * Returns whether this node recently had contact with a primary other than the candidate, or is
     * itself a recently confirmed primary.
     */
    boolean hasContactWithOtherPrimary(Member candidate) {
        if (isPrimary()) {
            return primaryState.isRecentlyConfirmed();
        }
        View view = context.view();
        return context.electionTimer()
                        .hadPrimaryContactWithin(ReplicationTiming.PRIMARY_CONTACT_VALIDITY_MS)
                && role instanceof FollowerState
                && view.primary != null
                && !view.primary.equals(candidate)
                && context.storedState().promisedEpoch <= view.epoch;
    }

    /** Called when the storage failed to save the state. */
    void onSaveFailed() {
        context.electionTimer().suppressCandidacy(ReplicationTiming.ELECTION_BACKOFF_MS);
        if (isPrimary() || isCandidate()) {
            resign("the storage failed to save the state");
        }
    }

    /**
     * Makes this node a follower and, if it was the primary, asks another replica to take over.
     * Does nothing if this node is not in the group.
     */
    void resign(String reason) {
        if (role instanceof JoiningState) {
            return;
        }
        context.electionTimer().suppressCandidacy(ReplicationTiming.ELECTION_BACKOFF_MS);
        // Chosen before the transition, which clears the leave requests.
        Member successor = isPrimary() ? primaryState.chooseSuccessor() : null;
        transitionToFollower(reason);
        context.electionTimer().restart();
        if (successor != null) {
            context.transport()
                    .call(
                            successor.address,
                            ResignRequest.of(context.view().epoch),
                            ReplicationTiming.REQUEST_TIMEOUT_MS,
                            answer -> {});
        }
    }

    /** Called when the primary of an epoch has resigned and asks this node to take over. */
    void onPrimaryResigned(long epoch) {
        View view = context.view();
        boolean isReplicaOfView =
                view != null && view.epoch == epoch && context.viewTracker().isReplica();
        if (isReplicaOfView
                && !isLeaving()
                && role instanceof FollowerState
                && !context.electionTimer().isCandidacySuppressed(context.nowMs())) {
            transitionToCandidate(false, "the primary resigned");
        }
    }
}
