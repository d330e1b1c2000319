package myrtleladder.controlplane.model;

import java.util.List;
import myrtleladder.protocol.AcceptViewRequest;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.HeartbeatRequest;
import myrtleladder.protocol.InstallStateRequest;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PrepareRequest;
import myrtleladder.protocol.PrepareResponse;
import myrtleladder.protocol.ReplicateRequest;
import myrtleladder.protocol.ShareInstancesRequest;
import myrtleladder.protocol.Snapshot;
import myrtleladder.protocol.View;

/** Removes a safeguard from the protocol by forging or modifying messages on the network. */
final class MessageForger {
    private final Safeguard removedSafeguard;
    private final SimulatedCluster cluster;

    MessageForger(Safeguard removedSafeguard, SimulatedCluster cluster) {
        this.removedSafeguard = removedSafeguard;
        this.cluster = cluster;
    }

    /** A forged response that replaces the call, null if the call shall reach its target. */
    Message forgedResponse(SimulatedNode caller, String to, Message message) {
        if (removedSafeguard == null) {
            return null;
        }
        Member called = memberAt(caller, to, message);
        if (called == null) {
            return null;
        }
        return switch (removedSafeguard) {
            case COPY_BEFORE_VIEW ->
                    message instanceof InstallStateRequest install
                            ? acknowledgement(install.epoch, called)
                            : null;
            case MAJORITY_OF_GROUP -> vote(message, called);
            case MAJORITY_OF_PREVIOUS_GROUP ->
                    isOnlyInPreviousGroup(caller, called) ? vote(message, called) : null;
            case ROUND_TRIP_BEFORE_READ ->
                    message instanceof HeartbeatRequest beat
                            ? acknowledgement(beat.view.epoch, called)
                            : null;
            case SWAP_AT_ADMISSION ->
                    message instanceof HeartbeatRequest beat && !cluster.isRunningAt(to)
                            ? acknowledgement(beat.view.epoch, called)
                            : null;
            default -> null;
        };
    }

    private static Message vote(Message message, Member called) {
        if (message instanceof PrepareRequest prepare) {
            return PrepareResponse.of(true, prepare.epoch, called, null, List.of());
        }
        return message instanceof AcceptViewRequest accept
                ? acknowledgement(accept.view.epoch, called)
                : null;
    }

    private static AcknowledgeResponse acknowledgement(long epoch, Member member) {
        return AcknowledgeResponse.of(true, epoch, member);
    }

    /** Whether a member is only in the previous group of a reconfiguration. */
    private static boolean isOnlyInPreviousGroup(SimulatedNode caller, Member called) {
        View view = caller.replica().view();
        return view != null
                && !caller.address.equals(called.address)
                && (!view.group.contains(called) || !view.isGroupStable());
    }

    private Member memberAt(SimulatedNode caller, String to, Message message) {
        View view =
                message instanceof AcceptViewRequest accept ? accept.view : caller.replica().view();
        if (view == null) {
            return null;
        }
        for (List<Member> members : List.of(view.group, view.previousGroup)) {
            for (Member member : members) {
                if (member.address.equals(to)) {
                    return member;
                }
            }
        }
        return null;
    }

    /** Modifies a message before the receiving node handles it. */
    Message tamper(SimulatedNode node, Message message) {
        if (removedSafeguard == Safeguard.EPOCH_IN_EACH_MESSAGE) {
            raiseEpoch(node, message);
        } else if (removedSafeguard == Safeguard.CHANGE_DIGEST) {
            eraseChangeDigests(message);
        } else if (removedSafeguard == Safeguard.DURABLE_DEPARTURE
                && message instanceof ShareInstancesRequest share) {
            share.syncRequired = false;
        }
        return message;
    }

    /** Modifies a response before it is sent. */
    void tamperResponse(Message request, Message response) {
        if (removedSafeguard == Safeguard.ONE_PROMISE_PER_EPOCH
                && request instanceof PrepareRequest prepare
                && response instanceof PrepareResponse promise
                && !prepare.preVote
                && promise.promisedEpoch == prepare.epoch) {
            promise.granted = true;
        }
    }

    /** Raises the epoch of a message to the one that the node has promised. */
    private static void raiseEpoch(SimulatedNode node, Message message) {
        long promised = node.replica().epoch();
        View accepted = node.replica().view();
        if (message instanceof ReplicateRequest replicate && accepted != null) {
            replicate.epoch = Math.max(replicate.epoch, promised);
        } else if (message instanceof HeartbeatRequest beat) {
            beat.view.epoch = Math.max(beat.view.epoch, promised);
        } else if (message instanceof AcceptViewRequest accept) {
            accept.view.epoch = Math.max(accept.view.epoch, promised);
        } else if (message instanceof InstallStateRequest install) {
            install.epoch = Math.max(install.epoch, promised);
        } else if (message instanceof ShareInstancesRequest share) {
            share.epoch = Math.max(share.epoch, promised);
        }
    }

    private static void eraseChangeDigests(Message message) {
        if (message instanceof ReplicateRequest replicate) {
            replicate.changeDigest = "forgotten";
        } else if (message instanceof InstallStateRequest install) {
            Snapshot snapshot = install.snapshot;
            install.snapshot =
                    Snapshot.of(snapshot.document, snapshot.generation, List.of())
                            .withDrainedZones(snapshot.drainedZones);
        }
    }
}
