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
 * Sends records of upstream instances from the primary to the other control nodes. The nodes keep
 * heartbeats in memory only. An acknowledged departure must survive the same failures as an
 * acknowledged configuration change, so each replica of the view stores it on disk first.
 *
 * <p>Members that do not acknowledge a record receive it later through {@link HintedHandoff}.
 * Confined to the event loop.
 */
final class InstanceReplicator {
    /** Timeout of a request to a member. */
    private static final long REQUEST_TIMEOUT_MS = 500;

    private final PeerTransport peers;
    private final HintedHandoff handoff;
    private Replica replica;
    private boolean isPrimary;

    InstanceReplicator(Scheduler scheduler, PeerTransport peers) {
        this.peers = peers;
        this.handoff = new HintedHandoff(scheduler, peers);
    }

    /** Sets the replica that knows the view. Must be called before any other method. */
    void attach(Replica attached) {
        replica = attached;
    }

    /**
     * Called when this node becomes primary of a new view; only members of its group keep their
     * hints.
     */
    void onPrimacyGained() {
        isPrimary = true;
        handoff.retainMembers(replica.view().group);
    }

    /** Called when this node is no longer primary; the next primary sends the records. */
    void onPrimacyLost() {
        isPrimary = false;
        handoff.clear();
    }

    /** Sends a record to the other nodes without waiting for them. */
    void replicate(InstanceRecord record) {
        View view = replica.view();
        ShareInstancesRequest request =
                ShareInstancesRequest.of(view.epoch, List.of(record), false);
        for (Member member : view.group) {
            if (!member.equals(replica.self())) {
                send(member, request, isAcknowledged -> {});
            }
        }
    }

    /**
     * Sends a record to the other nodes and waits until all replicas have stored it on disk.
     *
     * @param done called once: with true when all replicas of the view have synced the record, with
     *     false if one of them failed or timed out
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
                        isAcknowledged -> pending.record(member, isAcknowledged));
            }
        }
    }

    private void send(Member member, ShareInstancesRequest request, Consumer<Boolean> done) {
        peers.call(
                member.address,
                request,
                REQUEST_TIMEOUT_MS,
                response -> {
                    boolean isAcknowledged = isAcknowledgedBy(member, response);
                    if (!isAcknowledged && isPrimary) {
                        addHints(member, request);
                    }
                    done.accept(isAcknowledged);
                });
    }

    private void addHints(Member member, ShareInstancesRequest request) {
        long epoch = replica.view().epoch;
        request.instances.forEach(record -> handoff.addHint(member, record, epoch));
    }

    /**
     * Returns whether the member itself accepted the records; a response from another node that now
     * has the address does not count.
     */
    private static boolean isAcknowledgedBy(Member member, Message response) {
        return response instanceof AcknowledgeResponse acknowledgement
                && acknowledgement.accepted
                && member.equals(acknowledgement.member);
    }
}
