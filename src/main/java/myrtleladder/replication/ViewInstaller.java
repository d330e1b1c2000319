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
 * Installs the view of a candidate: sends the state to all replicas of the view, then the view itself to its group and the previous group. The view is installed once all replicas and majorities of both groups have accepted it (Paxos phase 2).
 *
 * <p>Invariant: the view is sent to no member before all replicas of the view have saved the state. Confined to the event loop; {@link CandidateState} creates one instance for each view.
 */
final class ViewInstaller {
    private final ReplicaContext context;
    private final QuorumState quorum;
    private final CandidateState candidate;
    private final View view;
    private final Promises promises;
    private final Set<Member> installed = new LinkedHashSet<>();
    private final Set<Member> accepted = new LinkedHashSet<>();

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
    void begin() {
        installed.add(context.self());
        for (Member member : view.replicas) {
            if (!context.isSelf(member)) {
                sendState(member);
            }
        }
        acceptIfInstalled();
    }

    private void sendState(Member member) {
        context.peers()
                .call(
                        member.address,
                        InstallStateRequest.of(
                                view.epoch,
                                context.storedState().snapshot,
                                promises.inheritedInstances()),
                        ReplicationTiming.STORAGE_TIMEOUT_MS,
                        answer -> onStateAnswered(member, answer));
    }

    private void onStateAnswered(Member member, Message answer) {
        if (!candidate.isIn(CandidateState.Phase.INSTALLING)) {
            return;
        }
        if (answer instanceof AcknowledgeResponse response
                && response.accepted
                && member.equals(response.member)) {
            installed.add(member);
            acceptIfInstalled();
        } else {
            context.unresponsiveReplicas().add(member);
            quorum.onCandidacyFailed(member + " did not save the state", true);
        }
    }

    private void acceptIfInstalled() {
        if (installed.size() < view.replicas.size()) {
            return;
        }
        candidate.enter(CandidateState.Phase.ACCEPTING);
        context.persistentState()
                .save(context.storedState().withAcceptedView(view), this::onOwnAcceptanceSaved);
        Set<Member> voters = new LinkedHashSet<>(view.group);
        voters.addAll(view.previousGroup);
        long sentAtMs = context.nowMs();
        for (Member member : voters) {
            if (!context.isSelf(member)) {
                context.peers()
                        .call(
                                member.address,
                                AcceptViewRequest.of(view),
                                ReplicationTiming.REQUEST_TIMEOUT_MS,
                                answer -> onAcceptanceAnswered(answer, sentAtMs));
            }
        }
    }

    private void onOwnAcceptanceSaved(boolean saved) {
        if (saved && candidate.isIn(CandidateState.Phase.ACCEPTING)) {
            accepted.add(context.self());
            completeIfAccepted();
        }
    }

    private void onAcceptanceAnswered(Message answer, long sentAtMs) {
        if (answer instanceof AcknowledgeResponse response
                && response.accepted
                && response.member != null) {
            accepted.add(response.member);
            context.contacts().onAcknowledged(response.member, sentAtMs);
            completeIfAccepted();
        }
    }

    private void completeIfAccepted() {
        boolean acceptedByReplicas =
                accepted.contains(context.self()) && accepted.containsAll(view.replicas);
        if (candidate.isIn(CandidateState.Phase.ACCEPTING)
                && acceptedByReplicas
                && view.hasMajority(accepted)) {
            candidate.enter(CandidateState.Phase.ENDED);
            quorum.transitionToPrimary(view, promises.inheritedInstances());
        }
    }
}
