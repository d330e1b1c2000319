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
 * A node of the primary-backup replication. The group includes witnesses, which vote and store
 * epochs and views but not the replicated state.
 *
 * <p>A change is committed once every replica of the current view has saved it. Only a replica of
 * the latest view can install the next view, under a new epoch. The next view is installed once its
 * replicas have the complete state and majorities of its group and of the previous group have saved
 * the view. A member that has promised an epoch rejects all requests with a lower one.
 *
 * <p>This class is the entry point of the package; {@link QuorumState} holds the role. Confined to
 * the event loop of the scheduler, which also runs all callbacks.
 */
public final class Replica {
    private static final Logger LOG = LogManager.getLogger(Replica.class);

    /** The role of a node. The names are visible to operators in the status page and the log. */
    public enum State {
        /** Not in the group; requests admission. */
        JOINING,
        /** Follows a primary or waits for one. */
        FOLLOWER,
        /** Is attempting to install a view. */
        CANDIDATE,
        /** Is the primary of the installed view. */
        PRIMARY
    }

    /** Is notified of role changes, on the event loop. */
    public interface Listener {
        /**
         * Called when this node has become the primary of a new epoch.
         *
         * @param instances the upstream records that this node and the members that promised knew
         */
        void onPrimacyGained(Collection<InstanceRecord> instances);

        /** Called when this node is no longer primary. */
        void onPrimacyLost();

        /** Called when a candidate sent its upstream records together with the state. */
        void onInstancesReceived(Collection<InstanceRecord> instances);
    }

    private final ReplicaContext context;
    private final QuorumState quorum;
    private final EpochConflicts epochConflicts = new EpochConflicts();
    private final VoterRequestHandler voterRequestHandler;
    private final RolePoller rolePoller;
    private final List<InstanceRecord> instancesAtStart;
    private boolean isStoreIdSaved;

    /**
     * Creates a replica, which takes part in the protocol after {@link #start}.
     *
     * @param stored the stored state, null if the storage is empty
     * @param newStoreId the store id to use if the storage is empty
     * @param knownInstances supplies the upstream records that this node currently knows
     */
    public Replica(
            ReplicaOptions options,
            StoredState stored,
            String newStoreId,
            Scheduler scheduler,
            StateStorage storage,
            PeerTransport transport,
            Listener listener,
            Supplier<List<InstanceRecord>> knownInstances) {
        StoredState initial = stored == null ? InitialState.create(options, newStoreId) : stored;
        Member self =
                Member.of(options.self().address, options.self().controlAddress, initial.storeId);
        ViewTracker viewTracker = new ViewTracker(self, initial.acceptedView);
        this.context =
                new ReplicaContext(
                        options,
                        self,
                        scheduler,
                        transport,
                        knownInstances,
                        viewTracker,
                        new PersistentState(
                                initial,
                                storage,
                                scheduler,
                                knownInstances,
                                viewTracker,
                                this::onSaveFailed),
                        new ElectionTimer(scheduler),
                        new MemberContacts(),
                        new MembershipRequests(),
                        new UnresponsiveReplicas(scheduler));
        this.quorum = new QuorumState(context, listener);
        this.voterRequestHandler =
                new VoterRequestHandler(context, quorum, listener, epochConflicts);
        this.rolePoller = new RolePoller(context, quorum);
        this.instancesAtStart = initial.instances;
        this.isStoreIdSaved = stored != null;
    }

    /** Starts to take part in the protocol. Called once. */
    public void start() {
        context.electionTimer().restart();
        rolePoller.initialize();
        StoredState stored = context.storedState();
        LOG.info(
                "replica starting: store {}, promised epoch {}, view {}, generation {}",
                stored.storeId,
                stored.promisedEpoch,
                stored.acceptedView,
                stored.snapshot.generation);
        saveStoreId();
    }

    /** Saves the store id. Until that succeeds, this node sends no requests and no responses. */
    private void saveStoreId() {
        context.persistentState().save(context.storedState(), this::onStoreIdSaved);
    }

    private void onStoreIdSaved(boolean saved) {
        if (!saved && !isStoreIdSaved) {
            context.scheduler()
                    .schedule(ReplicationTiming.STORE_ID_SAVE_RETRY_DELAY_MS, this::saveStoreId);
            return;
        }
        isStoreIdSaved = true;
        if (context.viewTracker().isVoter()) {
            quorum.transitionToFollower("member of the stored view's group");
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

    /** Returns the last promised epoch. */
    public long epoch() {
        return context.storedState().promisedEpoch;
    }

    /**
     * Returns the number of rejected requests from a second member that acts as the candidate or
     * primary of one epoch. It stays 0 unless the protocol is violated.
     */
    public long epochConflicts() {
        return epochConflicts.count();
    }

    /**
     * Returns the replicated state. It is committed if this node is primary and no change is in
     * flight.
     */
    public Snapshot snapshot() {
        return context.storedState().snapshot;
    }

    /** Returns the upstream records that were stored when this node started. */
    public List<InstanceRecord> instancesAtStart() {
        return instancesAtStart;
    }

    /**
     * Returns whether a majority has confirmed this primary recently. A primary that is a candidate
     * for its own next view still counts as the primary of the previous one.
     */
    public boolean isRecentlyConfirmed() {
        return quorum.hasPrimacy() && quorum.primaryState().isRecentlyConfirmed();
    }

    /**
     * Returns the primary if this node is the primary or had recent contact with it, otherwise
     * null.
     */
    public Member primary() {
        if (quorum.isPrimary()) {
            return context.self();
        }
        boolean hasRecentContact =
                context.electionTimer()
                        .hadPrimaryContactWithin(ReplicationTiming.PRIMARY_REDIRECT_VALIDITY_MS);
        return context.view() != null && hasRecentContact ? context.view().primary : null;
    }

    /** Returns whether a change or an attempt to install a view is in flight. */
    public boolean isBusy() {
        return quorum.primaryState().isChangeInFlight() || quorum.isCandidate();
    }

    /** Returns whether this node is leaving the group. */
    public boolean isLeaving() {
        return quorum.isLeaving();
    }

    /**
     * Asks the group whether this node is still primary.
     *
     * @param onConfirmed receives true once a majority has acknowledged, otherwise false; called
     *     once
     */
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
     * @param onCommitted receives true once every replica has saved the change, false if the
     *     outcome is unknown and the change may or may not take effect later, or if it was not
     *     submitted because this node is not primary or has a change in flight; called once
     */
    public void submit(StateChange change, Consumer<Boolean> onCommitted) {
        if (!quorum.isPrimary() || quorum.primaryState().isChangeInFlight()) {
            onCommitted.accept(false);
        } else {
            quorum.primaryState().submit(change, onCommitted);
        }
    }

    /**
     * Saves the known upstream records if this node is a replica and no other save is in flight.
     */
    public void saveInstancesIfIdle() {
        if (context.viewTracker().isReplica() && context.persistentState().isIdle()) {
            context.persistentState().save(context.storedState(), saved -> {});
        }
    }

    /**
     * Saves the known upstream records.
     *
     * @param onSaved receives whether they are durable; false if this node is not a replica; called
     *     once
     */
    public void saveInstances(Consumer<Boolean> onSaved) {
        if (context.viewTracker().isReplica()) {
            context.persistentState().save(context.storedState(), onSaved);
        } else {
            onSaved.accept(false);
        }
    }

    /** Makes this node a follower and, if it was the primary, asks another replica to take over. */
    public void resign(String reason) {
        quorum.resign(reason);
    }

    /**
     * Leaves the group before this process exits: resigns if this node is the primary, and waits
     * until the group no longer needs its vote or its copy of the state. Does nothing if called
     * before.
     *
     * @param timeoutMs after which the callback runs even if the group has not released the node
     * @param onCompleted receives whether the group released this node; called once
     */
    public void leave(long timeoutMs, Consumer<Boolean> onCompleted) {
        quorum.leaveRequester().start(timeoutMs, onCompleted);
    }

    /**
     * Handles a request from another node.
     *
     * @param answer receives the response, or null if none is to be sent; called once
     * @return whether the message is a request of this protocol
     */
    public boolean receive(Message message, Consumer<Message> answer) {
        if (!isStoreIdSaved) {
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
            // This node may have been deposed without knowing it, so a majority has to confirm.
            confirm(confirmed -> answer.accept(LeaveResponse.of(confirmed, view)));
        } else {
            answer.accept(LeaveResponse.of(false, view));
        }
    }
}
