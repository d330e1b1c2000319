package myrtleladder.controlplane;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import myrtleladder.io.Scheduler;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.ShareInstancesRequest;
import myrtleladder.protocol.View;
import myrtleladder.replication.Peers;
import myrtleladder.replication.Replica;

/**
 * Hands records of upstreams from the primary to the other control nodes. What is only news is
 * handed over in memory. A departure that is acknowledged has to outlast what an acknowledged
 * change outlasts, so each replica of the view has it on its disk first.
 */
final class InstanceSharing {
    private static final long SHARE = 500;

    private final Peers peers;
    private final HintedHandoff handoff;
    private Replica replica;
    private boolean leading;

    InstanceSharing(Scheduler scheduler, Peers peers) {
        this.peers = peers;
        this.handoff = new HintedHandoff(scheduler, peers);
    }

    /** Gives the replica that knows the members. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** This node is primary of another view. */
    void lead() {
        leading = true;
        handoff.retain(replica.view().group);
    }

    /** This node is primary no more. */
    void follow() {
        leading = false;
        handoff.clear();
    }

    /** Gives a record to the other nodes. */
    void share(InstanceRecord record) {
        View view = replica.view();
        ShareInstancesRequest message =
                ShareInstancesRequest.of(view.epoch, List.of(record), false);
        for (Member member : view.group) {
            if (!member.equals(replica.self())) {
                hand(member, message, taken -> {});
            }
        }
    }

    /**
     * Gives a record to the other nodes; told true once all replicas of the view have it on their
     * disks, false if one of them does not say so.
     */
    void shareDurably(InstanceRecord record, Consumer<Boolean> done) {
        View view = replica.view();
        Durable durable = new Durable(view.replicas, done);
        replica.saveInstances(ok -> durable.answered(replica.self(), ok));
        for (Member member : view.group) {
            if (!member.equals(replica.self())) {
                boolean copy = view.replicas.contains(member);
                hand(
                        member,
                        ShareInstancesRequest.of(view.epoch, List.of(record), copy),
                        taken -> durable.answered(member, taken));
            }
        }
    }

    private void hand(Member member, ShareInstancesRequest message, Consumer<Boolean> done) {
        peers.call(
                member.address,
                message,
                SHARE,
                answer -> {
                    boolean taken = takenBy(member, answer);
                    if (!taken && leading) {
                        long epoch = replica.view().epoch;
                        message.instances.forEach(r -> handoff.keep(member, r, epoch));
                    }
                    done.accept(taken);
                });
    }

    /** Another node may answer at an address by now: its word is not the member's. */
    private static boolean takenBy(Member member, Message answer) {
        return answer instanceof AcknowledgeResponse reply
                && reply.accepted
                && member.equals(reply.member);
    }

    /** Counts the replicas that have a record on their disks. */
    private static final class Durable {
        private final Set<Member> missing;
        private final Consumer<Boolean> done;
        private boolean told;

        Durable(List<Member> replicas, Consumer<Boolean> done) {
            this.missing = new HashSet<>(replicas);
            this.done = done;
        }

        void answered(Member member, boolean taken) {
            if (told || !missing.contains(member)) {
                return;
            }
            if (taken) {
                missing.remove(member);
            }
            if (!taken || missing.isEmpty()) {
                told = true;
                done.accept(taken);
            }
        }
    }
}
