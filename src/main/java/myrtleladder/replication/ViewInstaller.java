package myrtleladder.replication;

import java.util.LinkedHashSet;
import java.util.Set;
import myrtleladder.protocol.AcceptViewRequest;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.InstallStateRequest;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.View;

/**
 * Installs the view of a candidate: sends the state to all replicas of the view, then the view
 * itself to its group and the previous group. The view is installed once all replicas and
 * majorities of both groups have accepted it (Paxos phase 2).
 *
 * <p>Invariants: the view is sent to no member before all replicas of the view have saved the
 * state, nor once this node has promised its epoch, or a later one, to another member. Confined to
 * the event loop; {@link CandidateState} creates one instance for each view.
 */
final class ViewInstaller {
    private final ReplicaContext context;
    private final QuorumState quorum;
    private final CandidateState candidate;
    private final View view;
    private final Promises promises;
    private final Set<Member> installedReplicas = new LinkedHashSet<>();
    private final Set<Member> acceptingMembers = new LinkedHashSet<>();

    ViewInstaller(
            ReplicaContext context,
            QuorumState quorum,
            CandidateState candidate,
            View view,
            Promises promises) {
        this.context = context;
        this.quorum = quorum;
        this.candidate = candidate;
        this.view = view;
        this.promises = promises;
    }

    /** Sends the state to the replicas of the view. */
    void start() {
        installedReplicas.add(context.self());
        for (Member member : view.replicas) {
            if (!context.isSelf(member)) {
                sendState(member);
            }
        }
        sendViewIfInstalled();
    }

    private void sendState(Member member) {
        context.transport()
                .call(
                        member.address,
                        InstallStateRequest.of(
                                view.epoch,
                                context.self(),
                                context.storedState().snapshot,
                                promises.mergedInstances()),
                        ReplicationTiming.STORAGE_TIMEOUT_MS,
                        answer -> onInstallResponse(member, answer));
    }

    private void onInstallResponse(Member member, Message answer) {
        if (!candidate.isInPhase(CandidateState.Phase.INSTALLING)) {
            return;
        }
        if (answer instanceof AcknowledgeResponse response
                && response.accepted
                && member.equals(response.member)) {
            installedReplicas.add(member);
            sendViewIfInstalled();
        } else {
            context.unresponsiveReplicas().add(member);
            quorum.onCandidacyFailed(member + " did not save the state", true);
        }
    }

    private void sendViewIfInstalled() {
        if (installedReplicas.size() < view.replicas.size()) {
            return;
        }
        if (!context.storedState().hasPromised(view.epoch, context.self())) {
            quorum.onCandidacyFailed("epoch " + view.epoch + " is no longer promised to it", true);
            return;
        }
        candidate.enterPhase(CandidateState.Phase.ACCEPTING);
        context.persistentState()
                .save(context.storedState().withAcceptedView(view), this::onOwnAcceptanceSaved);
        Set<Member> voters = new LinkedHashSet<>(view.group);
        voters.addAll(view.previousGroup);
        long sentAtMs = context.nowMs();
        for (Member member : voters) {
            if (!context.isSelf(member)) {
                context.transport()
                        .call(
                                member.address,
                                AcceptViewRequest.of(view),
                                ReplicationTiming.REQUEST_TIMEOUT_MS,
                                answer -> onAcceptResponse(answer, sentAtMs));
            }
        }
    }

    private void onOwnAcceptanceSaved(boolean saved) {
        if (saved && candidate.isInPhase(CandidateState.Phase.ACCEPTING)) {
            acceptingMembers.add(context.self());
            completeIfAccepted();
        }
    }

    private void onAcceptResponse(Message answer, long sentAtMs) {
        if (answer instanceof AcknowledgeResponse response
                && response.accepted
                && response.member != null) {
            acceptingMembers.add(response.member);
            context.memberContacts().onAcknowledged(response.member, sentAtMs);
            completeIfAccepted();
        }
    }

    private void completeIfAccepted() {
        boolean acceptedByReplicas =
                acceptingMembers.contains(context.self())
                        && acceptingMembers.containsAll(view.replicas);
        if (candidate.isInPhase(CandidateState.Phase.ACCEPTING)
                && acceptedByReplicas
                && view.hasMajority(acceptingMembers)) {
            candidate.enterPhase(CandidateState.Phase.ENDED);
            quorum.transitionToPrimary(view, promises.mergedInstances());
        }
    }
}
