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

/** Takes a guard out of the protocol by forging what the network carries. */
final class Forger {
    private final Guard missing;
    private final ControlModel model;

    Forger(Guard missing, ControlModel model) {
        this.missing = missing;
        this.model = model;
    }

    /** An answer that the network gives in place of the node that is called, null for none. */
    Message answerInstead(ModelNode caller, String to, Message message) {
        if (missing == null) {
            return null;
        }
        Member called = memberAt(caller, to, message);
        if (called == null) {
            return null;
        }
        return switch (missing) {
            case COPY_BEFORE_VIEW ->
                    message instanceof InstallStateRequest install
                            ? yes(install.epoch, called)
                            : null;
            case MAJORITY_OF_THE_GROUP -> vote(message, called);
            case MAJORITY_OF_THE_GROUP_BEFORE ->
                    dropped(caller, called) ? vote(message, called) : null;
            case ROUND_TRIP_BEFORE_A_READ ->
                    message instanceof HeartbeatRequest beat ? yes(beat.view.epoch, called) : null;
            case SWAP_AT_ADMISSION ->
                    message instanceof HeartbeatRequest beat && !model.reaches(caller.address, to)
                            ? yes(beat.view.epoch, called)
                            : null;
            default -> null;
        };
    }

    private static Message vote(Message message, Member called) {
        if (message instanceof PrepareRequest prepare) {
            PrepareResponse promise = new PrepareResponse();
            promise.granted = true;
            promise.promisedEpoch = prepare.epoch;
            promise.member = called;
            return promise;
        }
        return message instanceof AcceptViewRequest accept ? yes(accept.view.epoch, called) : null;
    }

    private static AcknowledgeResponse yes(long epoch, Member member) {
        return AcknowledgeResponse.of(true, epoch, member);
    }

    /** Whether a member belongs to the group before a change of the group alone. */
    private static boolean dropped(ModelNode caller, Member called) {
        View view = caller.replica().view();
        return view != null
                && !caller.address.equals(called.address)
                && (!view.group.contains(called) || !view.isGroupStable());
    }

    private Member memberAt(ModelNode caller, String to, Message message) {
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

    /** A message as the receiving node takes it. */
    Message received(ModelNode node, Message message) {
        if (missing == Guard.EPOCH_IN_EACH_MESSAGE) {
            raise(node, message);
        } else if (missing == Guard.DIGEST_OF_AN_ORDER) {
            forgetOrders(message);
        } else if (missing == Guard.DURABLE_DEPARTURE
                && message instanceof ShareInstancesRequest share) {
            share.syncRequired = false;
        }
        return message;
    }

    private static void raise(ModelNode node, Message message) {
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

    private static void forgetOrders(Message message) {
        if (message instanceof ReplicateRequest replicate) {
            replicate.changeDigest = "forgotten";
        } else if (message instanceof InstallStateRequest install) {
            Snapshot snapshot = install.snapshot;
            install.snapshot = Snapshot.of(snapshot.document, snapshot.generation, List.of());
        }
    }
}
