package myrtleladder.replication;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.JoinRequest;
import myrtleladder.protocol.JoinResponse;
import myrtleladder.protocol.LeaveRequest;
import myrtleladder.protocol.LeaveResponse;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.ResignRequest;
import myrtleladder.protocol.Snapshot;
import myrtleladder.protocol.StoredState;
import myrtleladder.protocol.View;
import myrtleladder.scheduler.Scheduler;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A node of primary-backup replication with voting members that store epochs only.
 *
 * <p>A change is committed once every replica of the current view has saved it. A member that is a
 * replica of the last view installs the next one under a new epoch, once the replicas have the
 * complete state and majorities of the group and of the group before it have saved the view. From
 * the promise of an epoch on, a member rejects requests of lower ones.
 *
 * <p>This class is the entry point; {@link QuorumState} holds the role. Confined to the event loop
 * of the scheduler, which also runs all callbacks.
 */
public final class Replica {
    private static final Logger LOG = LogManager.getLogger(Replica.class);

    /** The role of a node. The names are visible to operators in the status and the log. */
    public enum State {
        /** Outside of the group: asks to be admitted. */
        JOINING,
        /** A member that follows a primary or waits for one. */
        FOLLOWER,
        /** Attempts to install a view. */
        CANDIDATE,
        /** Leads the view that is in effect. */
        PRIMARY
    }

    /** Is notified of changes of the role, on the event loop. */
    public interface Listener {
        /**
         * This node is primary of a new epoch; {@code instances} are the upstreams that the members
         * knew.
         */
        void onPrimacyGained(Collection<InstanceRecord> instances);

        /** This node is primary no more. */
        void onPrimacyLost();

        /** A candidate sent the upstreams that it knows along with the state. */
        void onInstancesReceived(Collection<InstanceRecord> instances);
    }

    private final ReplicaContext context;
    private final QuorumState quorum;
    private final VoterRequestHandler voterRequestHandler;
    private final RolePoller rolePoller;
    private final List<InstanceRecord> instancesAtStart;
    private boolean identityStored;

    /**
     * Creates a replica; {@link #start} lets it take part.
     *
     * @param onDisk what the storage holds, null if it is empty
     * @param newStore the identity of the store if it is empty
     * @param instances the upstreams that this node knows now
     */
    public Replica(
            ReplicaOptions options,
            StoredState onDisk,
            String newStore,
            Scheduler scheduler,
            Storage storage,
            Peers peers,
            Listener listener,
            Supplier<List<InstanceRecord>> instances) {
        StoredState initial = onDisk == null ? InitialState.create(options, newStore) : onDisk;
        Member self =
                Member.of(options.self().address, options.self().controlAddress, initial.storeId);
        ViewTracker views = new ViewTracker(self, initial.acceptedView);
        this.context =
                new ReplicaContext(
                        options,
                        self,
                        scheduler,
                        peers,
                        instances,
                        views,
                        new PersistentState(
                                initial, storage, scheduler, instances, views, this::onSaveFailed),
                        new ElectionTimer(scheduler),
                        new MemberContacts(),
                        new MembershipRequests(),
                        new UnresponsiveReplicas(scheduler));
        this.quorum = new QuorumState(context, listener);
        this.voterRequestHandler = new VoterRequestHandler(context, quorum, listener);
        this.rolePoller = new RolePoller(context, quorum);
        this.instancesAtStart = initial.instances;
        this.identityStored = onDisk != null;
    }

    /** Starts to take part. Called once. */
    public void start() {
        context.electionTimer().restart();
        rolePoller.initialize();
        StoredState stored = context.storedState();
        LOG.info(
                "replica starts: store {} promised {} view {} generation {}",
                stored.storeId,
                stored.promisedEpoch,
                stored.acceptedView,
                stored.snapshot.generation);
        storeIdentity();
    }

    /** Saves the identity of the store; before that, nothing is sent to or answered to others. */
    private void storeIdentity() {
        context.persistentState().save(context.storedState(), this::onIdentitySaved);
    }

    private void onIdentitySaved(boolean saved) {
        if (!saved && !identityStored) {
            context.scheduler()
                    .schedule(ReplicationTiming.IDENTITY_SAVE_RETRY_DELAY_MS, this::storeIdentity);
            return;
        }
        identityStored = true;
        if (context.views().isVoter()) {
            quorum.transitionToFollower("in the group");
        }
        rolePoller.poll();
    }

    private void onSaveFailed() {
        quorum.onSaveFailed();
    }

    /** Returns the role of this node. */
    public State state() {
        return quorum.state();
    }

    /** Returns the latest view that this node knows, null if it knows none. */
    public View view() {
        return context.view();
    }

    /** Returns this node. */
    public Member self() {
        return context.self();
    }

    /** Returns the epoch promised last. */
    public long epoch() {
        return context.storedState().promisedEpoch;
    }

    /**
     * Returns the replicated state; committed if this node is primary and no change is in flight.
     */
    public Snapshot snapshot() {
        return context.storedState().snapshot;
    }

    /** Returns the upstreams that the storage held at the start. */
    public List<InstanceRecord> instancesAtStart() {
        return instancesAtStart;
    }

    /**
     * Returns whether a majority confirmed this primary a short while ago. A primary that installs
     * another view of its own still leads the one before.
     */
    public boolean isRecentlyConfirmed() {
        return quorum.hasPrimacy() && quorum.primaryState().isRecentlyConfirmed();
    }

    /** Returns the primary if this node is it or heard it a short while ago, else null. */
    public Member primary() {
        if (quorum.isPrimary()) {
            return context.self();
        }
        boolean heard =
                context.electionTimer()
                        .hasHeardPrimaryWithin(ReplicationTiming.PRIMARY_REDIRECT_VALIDITY_MS);
        return context.view() != null && heard ? context.view().primary : null;
    }

    /** Returns whether a change or an attempt to install a view is in flight. */
    public boolean isBusy() {
        return quorum.primaryState().isChangeInFlight() || quorum.isCandidate();
    }

    /** Returns whether this node was asked to leave the group. */
    public boolean isLeaving() {
        return quorum.isLeaving();
    }

    /** Asks a majority whether this node is still primary; the callback runs once. */
    public void confirm(Consumer<Boolean> onConfirmed) {
        if (quorum.isPrimary()) {
            quorum.primaryState().confirm(onConfirmed);
        } else {
            onConfirmed.accept(false);
        }
    }

    /**
     * Submits a change.
     *
     * @param onCommitted takes true once every replica has saved the change, false if the outcome
     *     is unknown: the change may take effect later or not; called once
     */
    public void submit(StateChange change, Consumer<Boolean> onCommitted) {
        if (!quorum.isPrimary() || quorum.primaryState().isChangeInFlight()) {
            onCommitted.accept(false);
        } else {
            quorum.primaryState().submit(change, onCommitted);
        }
    }

    /** Saves the known upstreams if this node is a replica and no other save is in flight. */
    public void saveInstancesIfIdle() {
        if (context.views().isReplica() && context.persistentState().isIdle()) {
            context.persistentState().save(context.storedState(), saved -> {});
        }
    }

    /**
     * Saves the known upstreams.
     *
     * @param onSaved takes whether they are durable, false if this node is no replica; called once
     */
    public void saveInstances(Consumer<Boolean> onSaved) {
        if (context.views().isReplica()) {
            context.persistentState().save(context.storedState(), onSaved);
        } else {
            onSaved.accept(false);
        }
    }

    /** Gives up the role and asks the next replica to take over. */
    public void resign(String reason) {
        quorum.resign(reason);
    }

    /**
     * Leaves the group before this process ends: another node becomes primary, this node's copy of
     * the state and its vote are replaced. Without effect if called before.
     *
     * @param timeoutMs after which this node ends whether it was released or not, in milliseconds
     * @param onEnded takes whether the group released this node; called once
     */
    public void leave(long timeoutMs, Consumer<Boolean> onEnded) {
        quorum.leaveRequester().start(timeoutMs, onEnded);
    }

    /**
     * Handles a request of another node.
     *
     * @param answer takes the answer, null if there is to be none; called once
     * @return whether it is a request of this protocol
     */
    public boolean receive(Message message, Consumer<Message> answer) {
        if (!identityStored) {
            answer.accept(null);
        } else if (message instanceof ResignRequest request) {
            handleResign(request, answer);
        } else if (message instanceof JoinRequest request) {
            handleJoin(request, answer);
        } else if (message instanceof LeaveRequest request) {
            handleLeave(request, answer);
        } else {
            return voterRequestHandler.handle(message, answer);
        }
        return true;
    }

    private void handleResign(ResignRequest request, Consumer<Message> answer) {
        answer.accept(AcknowledgeResponse.of(true, epoch(), context.self()));
        quorum.onPrimaryResigned(request.epoch);
    }

    private void handleJoin(JoinRequest request, Consumer<Message> answer) {
        if (quorum.isPrimary()) {
            quorum.primaryState().onJoinRequested(request.member);
        }
        answer.accept(JoinResponse.of(context.view()));
    }

    private void handleLeave(LeaveRequest request, Consumer<Message> answer) {
        View view = context.view();
        boolean released =
                quorum.isPrimary() && quorum.primaryState().onLeaveRequested(request.member);
        if (released) {
            // A deposed primary may not know it yet; a majority does.
            confirm(confirmed -> answer.accept(LeaveResponse.of(confirmed, view)));
        } else {
            answer.accept(LeaveResponse.of(false, view));
        }
    }
}
