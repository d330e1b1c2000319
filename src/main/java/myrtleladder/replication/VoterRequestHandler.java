package myrtleladder.replication;

import java.util.ArrayList;
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
 * <p>Invariants: once an epoch is promised, requests with lower epochs are rejected. A positive
 * response is sent only after the state that it confirms was saved; if the save failed, no response
 * (null) is sent. Confined to the event loop; called only by {@link Replica}.
 */
final class VoterRequestHandler {
    private final ReplicaContext context;
    private final QuorumState quorum;
    private final Replica.Listener listener;

    /** The candidate to which this process last promised an epoch, null if none. */
    private Member promisedCandidate;

    VoterRequestHandler(ReplicaContext context, QuorumState quorum, Replica.Listener listener) {
        this.context = context;
        this.quorum = quorum;
        this.listener = listener;
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
            promisedCandidate = request.candidate;
            quorum.onEpochPrepared(request.epoch, request.candidate);
            savePromise(stored().withPromisedEpoch(request.epoch), answer);
        } else if (request.epoch == promised && request.candidate.equals(promisedCandidate)) {
            savePromise(stored(), answer); // a retry: the first response was lost
        } else {
            answer.accept(prepareResponse(false));
        }
    }

    private void handleInstallState(InstallStateRequest request, Consumer<Message> answer) {
        if (request.epoch != stored().promisedEpoch) {
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

    private void handleAcceptView(View view, Consumer<Message> answer) {
        if (view.epoch < stored().promisedEpoch) {
            answer.accept(acknowledgement(false));
            return;
        }
        quorum.onPrimaryContact(view);
        saveAndAcknowledge(stored().withAcceptedView(view), answer);
    }

    private void handleReplicate(ReplicateRequest request, Consumer<Message> answer) {
        if (!isReplicaOfEpoch(request.epoch)) {
            answer.accept(acknowledgement(false));
            return;
        }
        context.electionTimer().restart();
        Snapshot next = StateChange.fromRequest(request).applyTo(stored().snapshot);
        saveAndAcknowledge(stored().withSnapshot(next), answer);
    }

    /**
     * Returns whether this node accepted a view of this epoch as a replica and has promised no
     * later epoch.
     */
    private boolean isReplicaOfEpoch(long epoch) {
        View accepted = stored().acceptedView;
        return accepted != null
                && accepted.epoch == epoch
                && stored().promisedEpoch == epoch
                && accepted.replicas.contains(context.self());
    }

    private void handleHeartbeat(View view, Consumer<Message> answer) {
        if (view.epoch < stored().promisedEpoch) {
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
        long epoch = next.promisedEpoch;
        context.persistentState()
                .save(
                        next,
                        saved -> {
                            boolean stillPromised = stored().promisedEpoch == epoch;
                            answer.accept(saved ? prepareResponse(stillPromised) : null);
                        });
    }

    private PrepareResponse prepareResponse(boolean granted) {
        PrepareResponse response = new PrepareResponse();
        response.granted = granted;
        response.promisedEpoch = stored().promisedEpoch;
        response.member = context.self();
        response.acceptedView = stored().acceptedView;
        response.instances =
                granted ? new ArrayList<>(context.knownInstances().get()) : new ArrayList<>();
        return response;
    }
}
