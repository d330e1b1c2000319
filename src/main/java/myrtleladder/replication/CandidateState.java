package myrtleladder.replication;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PrepareRequest;
import myrtleladder.protocol.PrepareResponse;
import myrtleladder.protocol.View;

/**
 * The candidate role: one attempt to install a view. The candidate collects promises for its epoch
 * from majorities of the base view's groups (Paxos phase 1, after an optional pre-vote), chooses
 * the replicas among the members that promised, and starts a {@link ViewInstaller}.
 *
 * <p>Invariants: prepare requests for an epoch are sent only after this node has saved its own
 * promise for it. The new view is based on the latest view that any member of the majorities
 * accepted, and only a replica of that view continues. The group changes only if the base view is
 * known to be installed, except for {@link RestartedSeeds} of the initial view. Confined to the
 * event loop; {@link QuorumState} creates one instance for each attempt.
 */
final class CandidateState implements RoleState {
    /** The phases of an attempt, in order. The names appear in the log. */
    enum Phase {
        /** Asks, without binding any member, whether a majority would promise. */
        PRE_VOTE,
        /** Saves this node's own promise. */
        SAVING,
        /** Collects promises. */
        PREPARING,
        /** Sends the state to the replicas of the new view. */
        INSTALLING,
        /** Collects acceptances of the new view. */
        ACCEPTING,
        /** The view is installed, or the attempt was abandoned. */
        ENDED
    }

    /** Value of {@link #majorityReachedAtMs} until majorities have promised. */
    private static final long NOT_REACHED_MS = 0;

    private final ReplicaContext context;
    private final QuorumState quorum;
    private final ReconfigurationPlan plan;
    private final boolean baseViewInstalled;
    private final boolean withPreVote;
    private final long startedAtMs;
    private final Promises promises;
    private final Set<String> requestedAddresses = new HashSet<>();
    private Phase phase = Phase.PRE_VOTE;
    private long epoch;
    private long majorityReachedAtMs = NOT_REACHED_MS;
    private long requestsSentAtMs;
    private boolean baseViewReplaced;
    private View baseView;

    /**
     * Creates an attempt; {@link #start} starts it.
     *
     * @param plan the group change to make with the new view
     * @param baseViewInstalled whether the base view is known to be installed, so that its group
     *     may change
     * @param withPreVote whether to run a pre-vote first
     */
    CandidateState(
            ReplicaContext context,
            QuorumState quorum,
            ReconfigurationPlan plan,
            boolean baseViewInstalled,
            boolean withPreVote) {
        this.context = context;
        this.quorum = quorum;
        this.plan = plan;
        this.baseViewInstalled = baseViewInstalled;
        this.withPreVote = withPreVote;
        this.promises = new Promises(context);
        this.startedAtMs = context.nowMs();
        View acceptedView = context.storedState().acceptedView;
        this.baseView = acceptedView == null ? context.view() : acceptedView;
        this.epoch = nextEpoch();
    }

    @Override
    public Replica.State state() {
        return Replica.State.CANDIDATE;
    }

    /** Starts the attempt. */
    void start() {
        if (withPreVote) {
            enterPhase(Phase.PRE_VOTE);
            sendPrepareRequests();
            evaluatePreVotes();
        } else {
            prepare();
        }
    }

    @Override
    public void close() {
        enterPhase(Phase.ENDED);
    }

    @Override
    public void poll(long nowMs) {
        if (phase == Phase.PRE_VOTE
                && nowMs - requestsSentAtMs >= ReplicationTiming.PRE_VOTE_RETRY_INTERVAL_MS) {
            // A member that had contact with a primary recently may have lost it since.
            requestedAddresses.clear();
        }
        if (phase == Phase.PRE_VOTE || phase == Phase.PREPARING) {
            sendPrepareRequests();
            evaluatePromises();
        }
        if (phase != Phase.ENDED && nowMs - startedAtMs > ReplicationTiming.CANDIDACY_TIMEOUT_MS) {
            quorum.onCandidacyFailed("the attempt timed out in phase " + phase, true);
        }
    }

    /** Begins a phase. */
    void enterPhase(Phase next) {
        phase = next;
    }

    /** Returns whether the attempt is in a phase. */
    boolean isInPhase(Phase expected) {
        return phase == expected;
    }

    /** Returns an epoch above all known ones; members reject any lower epoch. */
    private long nextEpoch() {
        return Math.max(context.viewTracker().highestEpoch(), context.storedState().promisedEpoch)
                + 1;
    }

    private void sendPrepareRequests() {
        if (requestedAddresses.isEmpty()) {
            requestsSentAtMs = context.nowMs();
        }
        sendPrepareRequests(baseView.group);
        sendPrepareRequests(baseView.previousGroup);
        if (phase == Phase.PREPARING) {
            sendPrepareRequests(plan.nextGroup());
        }
    }

    /**
     * Sends a prepare or pre-vote request to each of these members that has neither a request in
     * flight nor responded.
     */
    private void sendPrepareRequests(List<Member> members) {
        boolean preVote = phase == Phase.PRE_VOTE;
        long requestedEpoch = epoch;
        long sentAtMs = context.nowMs();
        for (Member member : members) {
            if (member.address.equals(context.self().address)
                    || !requestedAddresses.add(member.address)) {
                continue;
            }
            context.transport()
                    .call(
                            member.address,
                            PrepareRequest.of(requestedEpoch, context.self(), preVote),
                            ReplicationTiming.REQUEST_TIMEOUT_MS,
                            answer ->
                                    onPrepareAnswer(
                                            member.address,
                                            requestedEpoch,
                                            preVote,
                                            sentAtMs,
                                            answer));
        }
    }

    private void onPrepareAnswer(
            String address, long requestedEpoch, boolean preVote, long sentAtMs, Message answer) {
        if (answer instanceof PrepareResponse response && response.member != null) {
            onPrepareResponse(response, preVote, sentAtMs);
        } else if (requestedEpoch == epoch) {
            requestedAddresses.remove(address);
        }
    }

    private void onPrepareResponse(PrepareResponse response, boolean preVote, long sentAtMs) {
        if (phase != (preVote ? Phase.PRE_VOTE : Phase.PREPARING)) {
            return;
        }
        context.viewTracker().observeEpoch(response.promisedEpoch);
        if (response.acceptedView != null) {
            quorum.onViewLearned(response.acceptedView);
        }
        if (response.granted) {
            promises.add(response);
            if (!preVote) {
                context.memberContacts().onAcknowledged(response.member, sentAtMs);
            }
        } else if (response.promisedEpoch >= epoch) {
            // The next attempt uses an epoch above the one that this member promised.
            quorum.onCandidacyFailed(
                    "a member has already promised epoch " + response.promisedEpoch, true);
            return;
        }
        if (preVote) {
            evaluatePreVotes();
        } else {
            evaluatePromises();
        }
    }

    private void evaluatePreVotes() {
        if (phase == Phase.PRE_VOTE && promises.isMajorityOf(viewWithPresentSeeds())) {
            prepare();
        }
    }

    private void prepare() {
        enterPhase(Phase.SAVING);
        promises.clear();
        requestedAddresses.clear();
        epoch = Math.max(epoch, nextEpoch());
        context.persistentState()
                .save(
                        context.storedState().withPromise(epoch, context.self()),
                        this::onOwnPromiseSaved);
    }

    private void onOwnPromiseSaved(boolean saved) {
        if (!saved || phase != Phase.SAVING) {
            return;
        }
        enterPhase(Phase.PREPARING);
        sendPrepareRequests();
        evaluatePromises();
    }

    private void evaluatePromises() {
        if (phase != Phase.PREPARING) {
            return;
        }
        View lastAccepted = promises.lastAcceptedView();
        if (lastAccepted == null) {
            return;
        }
        if (!lastAccepted.replicas.contains(context.self())) {
            quorum.onNotEligible(lastAccepted);
            return;
        }
        if (lastAccepted.epoch > baseView.epoch) {
            baseView = lastAccepted;
            baseViewReplaced = true;
            sendPrepareRequests();
        }
        if (hasMajorities(lastAccepted) && hasEnoughPromises()) {
            baseView = viewWithPresentSeeds();
            chooseView();
        }
    }

    private boolean hasMajorities(View lastAccepted) {
        boolean isSameView = lastAccepted.epoch == baseView.epoch;
        return promises.isMajorityOf(viewWithPresentSeeds())
                && (isSameView || promises.isMajorityOf(lastAccepted));
    }

    /** Returns the base view; if it is the initial one, with seeds that have restarted since. */
    private View viewWithPresentSeeds() {
        return RestartedSeeds.substituteIn(baseView, promises.allMembers());
    }

    /**
     * Returns whether every requested member has promised or the wait for further promises is over.
     */
    private boolean hasEnoughPromises() {
        long nowMs = context.nowMs();
        if (majorityReachedAtMs == NOT_REACHED_MS) {
            majorityReachedAtMs = nowMs;
        }
        return promises.size() >= requestedAddresses.size()
                || nowMs - majorityReachedAtMs >= ReplicationTiming.PROMISE_COLLECTION_MS;
    }

    private void chooseView() {
        boolean canChangeGroup = canChangeGroup();
        List<Member> group = canChangeGroup ? plan.nextGroup(promises::includes) : baseView.group;
        List<Member> previousGroup = canChangeGroup ? baseView.group : baseView.previousGroup;
        Optional<List<Member>> replicas =
                new ReplicaSelection(context, promises.otherMembers())
                        .select(baseView.replicas, group);
        if (replicas.isEmpty()) {
            return; // more members may promise before the attempt times out
        }
        install(View.of(epoch, context.self(), replicas.get(), group, previousGroup));
    }

    /**
     * Returns whether the group may change. Only a view that is known to be installed can have a
     * successor with another group; otherwise two different groups might follow one view.
     */
    private boolean canChangeGroup() {
        return baseViewInstalled && !baseViewReplaced;
    }

    private void install(View view) {
        enterPhase(Phase.INSTALLING);
        for (Member joiner : plan.joining()) {
            if (!promises.includes(joiner)) {
                context.membershipRequests().removeJoin(joiner);
            }
        }
        new ViewInstaller(context, quorum, this, view, promises).start();
    }
}
