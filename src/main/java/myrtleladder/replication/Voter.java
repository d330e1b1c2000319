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
 * What a member answers to candidates and primaries. It takes nothing of an epoch below the one it
 * promised, and says yes only once what it says is on its disk.
 */
final class Voter {
    private final Replica replica;
    private Member promisedTo;

    Voter(Replica replica) {
        this.replica = replica;
    }

    /** Answers a message of the protocol; whether it is one for a voter. */
    boolean receive(Message message, Consumer<Message> answer) {
        if (message instanceof PrepareRequest prepare) {
            prepare(prepare, answer);
        } else if (message instanceof InstallStateRequest install) {
            install(install, answer);
        } else if (message instanceof AcceptViewRequest accept) {
            accept(accept.view, answer);
        } else if (message instanceof ReplicateRequest replicate) {
            replicate(replicate, answer);
        } else if (message instanceof HeartbeatRequest heartbeat) {
            heartbeat(heartbeat.view, answer);
        } else {
            return false;
        }
        return true;
    }

    private StoredState stored() {
        return replica.stored();
    }

    private AcknowledgeResponse reply(boolean taken) {
        return AcknowledgeResponse.of(taken, stored().promisedEpoch, replica.self());
    }

    private void saveThenAcknowledge(StoredState next, Consumer<Message> answer) {
        replica.saveState(next, ok -> answer.accept(ok ? reply(true) : null));
    }

    private void prepare(PrepareRequest message, Consumer<Message> answer) {
        if (message.preVote) {
            boolean free =
                    message.epoch > stored().promisedEpoch && !replica.hears(message.candidate);
            answer.accept(promise(free));
        } else if (message.epoch > stored().promisedEpoch) {
            promisedTo = message.candidate;
            replica.yieldTo(message.epoch, message.candidate);
            savePromise(stored().withPromisedEpoch(message.epoch), answer);
        } else if (message.epoch == stored().promisedEpoch
                && message.candidate.equals(promisedTo)) {
            savePromise(stored(), answer); // asked again: the answer was lost
        } else {
            answer.accept(promise(false));
        }
    }

    private void savePromise(StoredState next, Consumer<Message> answer) {
        long epoch = next.promisedEpoch;
        replica.saveState(
                next,
                ok -> {
                    boolean holds = stored().promisedEpoch == epoch;
                    answer.accept(ok ? promise(holds) : null);
                });
    }

    private PrepareResponse promise(boolean granted) {
        PrepareResponse promise = new PrepareResponse();
        promise.granted = granted;
        promise.promisedEpoch = stored().promisedEpoch;
        promise.member = replica.self();
        promise.acceptedView = stored().acceptedView;
        promise.instances = granted ? new ArrayList<>(replica.instances()) : new ArrayList<>();
        return promise;
    }

    private void install(InstallStateRequest message, Consumer<Message> answer) {
        if (message.epoch != stored().promisedEpoch) {
            answer.accept(reply(false));
            return;
        }
        replica.heardFromCandidate();
        replica.inherit(message.instances);
        replica.saveCopy(
                stored().withSnapshot(message.snapshot),
                ok -> answer.accept(ok ? reply(true) : null));
    }

    private void accept(View view, Consumer<Message> answer) {
        if (view.epoch < stored().promisedEpoch) {
            answer.accept(reply(false));
            return;
        }
        replica.adopt(view);
        saveThenAcknowledge(stored().withAcceptedView(view), answer);
    }

    private void replicate(ReplicateRequest message, Consumer<Message> answer) {
        View accepted = stored().acceptedView;
        boolean current =
                accepted != null
                        && accepted.epoch == message.epoch
                        && stored().promisedEpoch == message.epoch
                        && accepted.replicas.contains(replica.self());
        if (!current) {
            answer.accept(reply(false));
            return;
        }
        replica.heardFromCandidate();
        Snapshot next =
                stored().snapshot
                        .withChange(message.document, message.generation, message.changeDigest);
        saveThenAcknowledge(stored().withSnapshot(next), answer);
    }

    private void heartbeat(View view, Consumer<Message> answer) {
        if (view.epoch < stored().promisedEpoch) {
            answer.accept(reply(false));
            return;
        }
        replica.adopt(view);
        if (stored().acceptedView == null || view.epoch > stored().acceptedView.epoch) {
            saveThenAcknowledge(stored().withAcceptedView(view), answer);
            return;
        }
        answer.accept(reply(true));
    }
}
