package myrtleladder.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.HeartbeatRequest;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.View;

/**
 * The heartbeats of a primary to its group, and what a majority of acknowledgements confirms.
 * Confined to the event loop; used by {@link PrimaryState} alone.
 */
final class PrimaryHeartbeats {
    /** Ends a confirmation only after the timeout of its requests was delivered. */
    private static final long CONFIRMATION_TIMEOUT_MS =
            ReplicationTiming.REQUEST_TIMEOUT_MS + ReplicationTiming.POLL_INTERVAL_MS;

    private final ReplicaContext context;
    private final QuorumState quorum;
    private final List<Confirmation> pendingConfirmations = new ArrayList<>();
    private long lastHeartbeatMs;

    /** A caller that waits for the acknowledgement of a majority; compared by identity. */
    private static final class Confirmation {
        final Consumer<Boolean> onConfirmed;

        Confirmation(Consumer<Boolean> onConfirmed) {
            this.onConfirmed = onConfirmed;
        }
    }

    PrimaryHeartbeats(ReplicaContext context, QuorumState quorum) {
        this.context = context;
        this.quorum = quorum;
    }

    /** Sends heartbeats if they are due. */
    void poll(long nowMs) {
        if (nowMs - lastHeartbeatMs >= ReplicationTiming.HEARTBEAT_INTERVAL_MS) {
            lastHeartbeatMs = nowMs;
            send(acknowledged -> {});
        }
    }

    /** Makes heartbeats due at the next poll. */
    void sendAtNextPoll() {
        lastHeartbeatMs = 0;
    }

    /** Returns whether a majority acknowledged a request that was sent a short while ago. */
    boolean isRecentlyConfirmed() {
        long sinceMs = context.nowMs() - ReplicationTiming.CONFIRMATION_VALIDITY_MS;
        Set<Member> acknowledged = new HashSet<>(context.contacts().acknowledgedSince(sinceMs));
        acknowledged.add(context.self());
        return context.view().hasMajority(acknowledged);
    }

    /** Asks a majority whether this node is still primary; the callback runs once. */
    void confirm(Consumer<Boolean> onConfirmed) {
        View view = context.view();
        Confirmation confirmation = new Confirmation(onConfirmed);
        pendingConfirmations.add(confirmation);
        context.scheduler().schedule(CONFIRMATION_TIMEOUT_MS, () -> complete(confirmation, false));
        send(
                acknowledged -> {
                    if (view.hasMajority(acknowledged)) {
                        complete(confirmation, quorum.isPrimary());
                    }
                });
    }

    /** Completes all pending confirmations as failed. */
    void failConfirmations() {
        new ArrayList<>(pendingConfirmations).forEach(pending -> complete(pending, false));
    }

    private void complete(Confirmation confirmation, boolean confirmed) {
        if (pendingConfirmations.remove(confirmation)) {
            confirmation.onConfirmed.accept(confirmed);
        }
    }

    /**
     * Sends a heartbeat to each other member.
     *
     * @param onProgress takes the members that acknowledged so far, this node first, at once and
     *     after each answer
     */
    private void send(Consumer<Set<Member>> onProgress) {
        Set<Member> acknowledged = new LinkedHashSet<>();
        acknowledged.add(context.self());
        View view = context.view();
        onProgress.accept(acknowledged);
        long sentAtMs = context.nowMs();
        for (Member member : view.group) {
            if (!context.isSelf(member)) {
                context.peers()
                        .call(
                                member.address,
                                HeartbeatRequest.of(view),
                                ReplicationTiming.REQUEST_TIMEOUT_MS,
                                answer ->
                                        onAnswer(view, sentAtMs, answer, acknowledged, onProgress));
            }
        }
    }

    private void onAnswer(
            View view,
            long sentAtMs,
            Message answer,
            Set<Member> acknowledged,
            Consumer<Set<Member>> onProgress) {
        boolean current = quorum.isPrimary() && context.view() == view;
        if (!current
                || !(answer instanceof AcknowledgeResponse response)
                || response.member == null) {
            return;
        }
        if (response.promisedEpoch > view.epoch) {
            quorum.onHigherEpochPromised(response.promisedEpoch);
        } else if (response.accepted) {
            context.contacts().onAcknowledged(response.member, sentAtMs);
            acknowledged.add(response.member);
        }
        onProgress.accept(acknowledged);
    }
}
