package myrtleladder.replication;

import java.util.List;
import java.util.function.Consumer;
import myrtleladder.protocol.AcceptViewRequest;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.HeartbeatRequest;
import myrtleladder.protocol.InstallStateRequest;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PrepareRequest;
import myrtleladder.protocol.PrepareResponse;
import myrtleladder.protocol.ReplicateRequest;
import myrtleladder.protocol.Snapshot;
import myrtleladder.protocol.StoredState;
import myrtleladder.protocol.View;

/**
 * Handles the requests of candidates and primaries in every role of this node (the acceptor of
 * Paxos).
 *
 * <p>Invariants: an epoch is promised to one candidate, which may be this node itself, and at most
 * one view of it is accepted. Once an epoch is promised, requests with lower epochs are rejected. A
 * positive response is sent only after the state that it confirms was saved; if the save failed, no
 * response (null) is sent. Confined to the event loop; called only by {@link Replica}.
 */
final class VoterRequestHandler {
    private final ReplicaContext context;
    private final QuorumState quorum;
    private final Replica.Listener listener;
    private final EpochConflicts epochConflicts;

    VoterRequestHandler(
            ReplicaContext context,
            QuorumState quorum,
            Replica.Listener listener,
            EpochConflicts epochConflicts) {
        this.context = context;
        this.quorum = quorum;
        this.listener = listener;
        this.epochConflicts = epochConflicts;
    }

    /** Handles a request if it is one of a candidate or primary. Returns whether it is. */
    boolean handle(Message request, Consumer<Message> answer) {
        if (request instanceof PrepareRequest prepare) {
            handlePrepare(prepare, answer);
        } else if (request instanceof InstallStateRequest install) {
            handleInstallState(install, answer);
        } else if (request instanceof AcceptViewRequest accept) {
            handleAcceptView(accept.view, answer);
        } else if (request instanceof ReplicateRequest replicate) {
            handleReplicate(replicate, answer);
        } else if (request instanceof HeartbeatRequest heartbeat) {
            handleHeartbeat(heartbeat.view, answer);
        } else {
            return false;
        }
        return true;
    }

    private void handlePrepare(PrepareRequest request, Consumer<Message> answer) {
        long promised = stored().promisedEpoch;
        if (request.preVote) {
            boolean granted =
                    request.epoch > promised
                            && !quorum.hasContactWithOtherPrimary(request.candidate);
            answer.accept(prepareResponse(granted));
        } else if (request.epoch > promised) {
            quorum.onEpochPrepared(request.epoch, request.candidate);
            savePromise(stored().withPromise(request.epoch, request.candidate), answer);
        } else if (isRetry(request)) {
            savePromise(stored(), answer);
        } else {
            answer.accept(prepareResponse(false));
        }
    }

    /** Returns whether the promise was granted before and the candidate may not know. */
    private boolean isRetry(PrepareRequest request) {
        return stored().hasPromised(request.epoch, request.candidate)
                && !hasAcceptedViewOf(request.epoch);
    }

    private boolean hasAcceptedViewOf(long epoch) {
        View accepted = stored().acceptedView;
        return accepted != null && accepted.epoch == epoch;
    }

    private void handleInstallState(InstallStateRequest request, Consumer<Message> answer) {
        if (!mayInstall(request)) {
            answer.accept(acknowledgement(false));
            return;
        }
        context.electionTimer().restart();
        listener.onInstancesReceived(request.instances);
        context.persistentState()
                .saveAsReplica(
                        stored().withSnapshot(request.snapshot),
                        saved -> answer.accept(saved ? acknowledgement(true) : null));
    }

    private boolean mayInstall(InstallStateRequest request) {
        if (request.epoch != stored().promisedEpoch) {
            return false;
        }
        if (conflictsWithPromise(request.candidate)) {
            epochConflicts.record(request.epoch, request.candidate, "a state to install");
            return false;
        }
        boolean senderIsKnown = request.candidate == null || stored().promisedCandidate != null;
        return senderIsKnown && !hasAcceptedViewOf(request.epoch);
    }

    /**
     * Returns whether the last promise was given to another member than the sender of an install
     * request. A sender whose version does not name it (null) can be any member but this one.
     */
    private boolean conflictsWithPromise(Member candidate) {
        Member holder = stored().promisedCandidate;
        if (candidate == null) {
            return context.self().equals(holder);
        }
        return holder != null && !holder.equals(candidate);
    }

    private void handleAcceptView(View view, Consumer<Message> answer) {
        if (isRejected(view)) {
            answer.accept(acknowledgement(false));
            return;
        }
        quorum.onPrimaryContact(view);
        saveAndAcknowledge(stored().withAcceptedView(view), answer);
    }

    /** Returns whether a view is older than the promise or conflicts with the accepted view. */
    private boolean isRejected(View view) {
        if (view.epoch < stored().promisedEpoch) {
            return true;
        }
        boolean conflicts = hasAcceptedViewOf(view.epoch) && !stored().acceptedView.isSameAs(view);
        if (conflicts) {
            epochConflicts.record(view.epoch, view.primary, "another view of the epoch");
        }
        return conflicts;
    }

    private void handleReplicate(ReplicateRequest request, Consumer<Message> answer) {
        if (!isBackupOfEpoch(request.epoch)) {
            answer.accept(acknowledgement(false));
            return;
        }
        context.electionTimer().restart();
        Snapshot next = StateChange.fromRequest(request).applyTo(stored().snapshot);
        saveAndAcknowledge(stored().withSnapshot(next), answer);
    }

    /**
     * Returns whether this node accepted a view of this epoch as a replica under another primary
     * and has promised no later epoch.
     */
    private boolean isBackupOfEpoch(long epoch) {
        if (!hasAcceptedViewOf(epoch) || stored().promisedEpoch != epoch) {
            return false;
        }
        View accepted = stored().acceptedView;
        if (context.self().equals(accepted.primary)) {
            epochConflicts.record(epoch, null, "a change of an epoch of this node");
            return false;
        }
        return accepted.replicas.contains(context.self());
    }

    private void handleHeartbeat(View view, Consumer<Message> answer) {
        if (isRejected(view)) {
            answer.accept(acknowledgement(false));
            return;
        }
        quorum.onPrimaryContact(view);
        if (stored().acceptedView == null || view.epoch > stored().acceptedView.epoch) {
            saveAndAcknowledge(stored().withAcceptedView(view), answer);
            return;
        }
        answer.accept(acknowledgement(true));
    }

    private StoredState stored() {
        return context.storedState();
    }

    private void saveAndAcknowledge(StoredState next, Consumer<Message> answer) {
        context.persistentState()
                .save(next, saved -> answer.accept(saved ? acknowledgement(true) : null));
    }

    private AcknowledgeResponse acknowledgement(boolean accepted) {
        return AcknowledgeResponse.of(accepted, stored().promisedEpoch, context.self());
    }

    private void savePromise(StoredState next, Consumer<Message> answer) {
        context.persistentState()
                .save(
                        next,
                        saved -> {
                            boolean stillPromised =
                                    stored().hasPromised(
                                                    next.promisedEpoch, next.promisedCandidate);
                            answer.accept(saved ? prepareResponse(stillPromised) : null);
                        });
    }

    private PrepareResponse prepareResponse(boolean granted) {
        return PrepareResponse.of(
                granted,
                stored().promisedEpoch,
                context.self(),
                stored().acceptedView,
                granted ? context.knownInstances().get() : List.of());
    }
}
