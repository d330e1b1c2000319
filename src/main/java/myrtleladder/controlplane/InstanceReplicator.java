package myrtleladder.controlplane;

import java.util.List;
import java.util.function.Consumer;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.ShareInstancesRequest;
import myrtleladder.protocol.View;
import myrtleladder.replication.PeerTransport;
import myrtleladder.replication.Replica;
import myrtleladder.scheduler.Scheduler;

/**
 * Sends records of upstream instances from the primary to the other control nodes. Heartbeats are
 * kept in their memory only. A departure that is acknowledged has to survive what an acknowledged
 * configuration change survives, so each replica of the view stores it on its disk first.
 *
 * <p>Members that do not take a record get it later by {@link HintedHandoff}. Confined to the event
 * loop.
 */
final class InstanceReplicator {
    /** How long a member has to answer. */
    private static final long REQUEST_TIMEOUT_MS = 500;

    private final PeerTransport peers;
    private final HintedHandoff handoff;
    private Replica replica;
    private boolean isPrimary;

    InstanceReplicator(Scheduler scheduler, PeerTransport peers) {
        this.peers = peers;
        this.handoff = new HintedHandoff(scheduler, peers);
    }

    /** Sets the replica that knows the view; has to precede all else. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** This node is primary of a new view, whose members alone get hints. */
    void onPrimacyGained() {
        isPrimary = true;
        handoff.retainMembers(replica.view().group);
    }

    /** This node is no longer primary: the next one sends the records. */
    void onPrimacyLost() {
        isPrimary = false;
        handoff.clear();
    }

    /** Sends a record to the other nodes. */
    void replicate(InstanceRecord record) {
        View view = replica.view();
        ShareInstancesRequest request =
                ShareInstancesRequest.of(view.epoch, List.of(record), false);
        for (Member member : view.group) {
            if (!member.equals(replica.self())) {
                send(member, request, isTaken -> {});
            }
        }
    }

    /**
     * Sends a record to the other nodes and waits for the disks of the replicas.
     *
     * @param done called once: with true as soon as all replicas of the view have synced the
     *     record, with false if one of them failed or did not answer
     */
    void replicateDurably(InstanceRecord record, Consumer<Boolean> done) {
        View view = replica.view();
        ReplicaAcknowledgements pending = new ReplicaAcknowledgements(view.replicas, done);
        replica.saveInstances(isSaved -> pending.record(replica.self(), isSaved));
        for (Member member : view.group) {
            if (!member.equals(replica.self())) {
                boolean isReplica = view.replicas.contains(member);
                send(
                        member,
                        ShareInstancesRequest.of(view.epoch, List.of(record), isReplica),
                        isTaken -> pending.record(member, isTaken));
            }
        }
    }

    private void send(Member member, ShareInstancesRequest request, Consumer<Boolean> done) {
        peers.call(
                member.address,
                request,
                REQUEST_TIMEOUT_MS,
                response -> {
                    boolean isTaken = isTakenBy(member, response);
                    if (!isTaken && isPrimary) {
                        addHints(member, request);
                    }
                    done.accept(isTaken);
                });
    }

    private void addHints(Member member, ShareInstancesRequest request) {
        long epoch = replica.view().epoch;
        request.instances.forEach(record -> handoff.addHint(member, record, epoch));
    }

    /** Another node may answer at the address by now: its answer does not count. */
    private static boolean isTakenBy(Member member, Message response) {
        return response instanceof AcknowledgeResponse acknowledgement
                && acknowledgement.accepted
                && member.equals(acknowledgement.member);
    }
}
