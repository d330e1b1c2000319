package myrtleladder.replication;

import java.util.function.Consumer;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.ReplicateRequest;
import myrtleladder.protocol.Snapshot;
import myrtleladder.protocol.View;

/**
 * Replicates the changes that a primary commits, one at a time.
 *
 * <p>Invariant: a change is reported as committed only after every replica of the view has saved
 * it, or after a view whose state includes it was installed. Confined to the event loop; used only
 * by {@link PrimaryState}.
 */
final class ChangeReplicator {
    private final ReplicaContext context;
    private final QuorumState quorum;
    private final ViewChangeTrigger viewChangeTrigger;
    private PendingChange pending;

    /** A change that not all replicas have acknowledged. */
    private static final class PendingChange {
        final Consumer<Boolean> onCommitted;
        int missingAcknowledgements;

        PendingChange(int missingAcknowledgements, Consumer<Boolean> onCommitted) {
            this.missingAcknowledgements = missingAcknowledgements;
            this.onCommitted = onCommitted;
        }
    }

    ChangeReplicator(
            ReplicaContext context, QuorumState quorum, ViewChangeTrigger viewChangeTrigger) {
        this.context = context;
        this.quorum = quorum;
        this.viewChangeTrigger = viewChangeTrigger;
    }

    /** Returns whether a change is in flight. */
    boolean isChangeInFlight() {
        return pending != null;
    }

    /**
     * Saves a change on this node and sends it to the other replicas. No other change may be in
     * flight.
     */
    void submit(StateChange stateChange, Consumer<Boolean> onCommitted) {
        View view = context.view();
        Snapshot next = stateChange.applyTo(context.storedState().snapshot);
        PendingChange change = new PendingChange(view.replicas.size(), onCommitted);
        pending = change;
        context.persistentState()
                .save(
                        context.storedState().withSnapshot(next),
                        saved -> onReplicaResponse(change, saved, context.self()));
        ReplicateRequest request = stateChange.toRequest(view.epoch);
        for (Member member : view.replicas) {
            if (!context.isSelf(member)) {
                send(change, request, member);
            }
        }
    }

    /**
     * Completes the change in flight, if there is one.
     *
     * @param committed false if the outcome is unknown
     */
    void completePending(boolean committed) {
        PendingChange change = pending;
        pending = null;
        if (change != null) {
            change.onCommitted.accept(committed);
        }
    }

    private void send(PendingChange change, ReplicateRequest request, Member member) {
        long sentAtMs = context.nowMs();
        context.transport()
                .call(
                        member.address,
                        request,
                        ReplicationTiming.STORAGE_TIMEOUT_MS,
                        answer -> {
                            boolean acknowledged =
                                    answer instanceof AcknowledgeResponse response
                                            && response.accepted
                                            && member.equals(response.member);
                            if (acknowledged) {
                                context.memberContacts().onAcknowledged(member, sentAtMs);
                            }
                            if (answer instanceof AcknowledgeResponse response
                                    && response.promisedEpoch
                                            > context.storedState().promisedEpoch) {
                                quorum.onHigherEpochPromised(response.promisedEpoch);
                            }
                            onReplicaResponse(change, acknowledged, member);
                        });
    }

    private void onReplicaResponse(PendingChange change, boolean acknowledged, Member member) {
        if (pending != change || !quorum.isPrimary()) {
            return;
        }
        if (!acknowledged) {
            replaceReplica(member);
            return;
        }
        change.missingAcknowledgements--;
        if (change.missingAcknowledgements == 0) {
            pending = null;
            // Must precede the callback, which may submit the next change immediately.
            viewChangeTrigger.changeViewIfDue();
            change.onCommitted.accept(true);
        }
    }

    /**
     * Starts a view change that replaces a failed replica. A failed save on this node is handled by
     * {@link QuorumState#onSaveFailed}.
     */
    private void replaceReplica(Member member) {
        if (!context.isSelf(member)) {
            context.unresponsiveReplicas().add(member);
            quorum.transitionToCandidate(
                    false, "replica " + member + " did not acknowledge a change");
        }
    }
}
