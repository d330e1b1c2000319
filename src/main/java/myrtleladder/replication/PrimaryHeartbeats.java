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
 * Sends a primary's heartbeats to its group and uses the acknowledgements to confirm that a
 * majority still follows it. Confined to the event loop; used only by {@link PrimaryState}.
 */
final class PrimaryHeartbeats {
    /**
     * Timeout of a confirmation; longer than that of its requests, so that their timeouts are
     * delivered first.
     */
    private static final long CONFIRMATION_TIMEOUT_MS =
            ReplicationTiming.REQUEST_TIMEOUT_MS + ReplicationTiming.POLL_INTERVAL_MS;

    private final ReplicaContext context;
    private final QuorumState quorum;
    private final List<Confirmation> pendingConfirmations = new ArrayList<>();
    private long lastHeartbeatMs;

    /** A caller that waits for acknowledgements from a majority; compared by identity. */
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

    /** Sends heartbeats if the heartbeat interval has passed. */
    void poll(long nowMs) {
        if (nowMs - lastHeartbeatMs >= ReplicationTiming.HEARTBEAT_INTERVAL_MS) {
            lastHeartbeatMs = nowMs;
            sendHeartbeats(acknowledged -> {});
        }
    }

    /** Makes heartbeats due at the next poll. */
    void sendAtNextPoll() {
        lastHeartbeatMs = 0;
    }

    /**
     * Returns whether a majority acknowledged requests sent within the last {@link
     * ReplicationTiming#CONFIRMATION_VALIDITY_MS}.
     */
    boolean isRecentlyConfirmed() {
        long sinceMs = context.nowMs() - ReplicationTiming.CONFIRMATION_VALIDITY_MS;
        Set<Member> acknowledged =
                new HashSet<>(context.memberContacts().acknowledgedSince(sinceMs));
        acknowledged.add(context.self());
        return context.view().hasMajority(acknowledged);
    }

    /**
     * Asks the group whether this node is still primary.
     *
     * @param onConfirmed receives true once a majority has acknowledged, false on a timeout or if
     *     this node is no longer primary; called once
     */
    void confirm(Consumer<Boolean> onConfirmed) {
        View view = context.view();
        Confirmation confirmation = new Confirmation(onConfirmed);
        pendingConfirmations.add(confirmation);
        context.scheduler().schedule(CONFIRMATION_TIMEOUT_MS, () -> complete(confirmation, false));
        sendHeartbeats(
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
     * @param onProgress receives the members that have acknowledged so far, starting with this
     *     node; called before the requests are sent and after each response
     */
    private void sendHeartbeats(Consumer<Set<Member>> onProgress) {
        Set<Member> acknowledged = new LinkedHashSet<>();
        acknowledged.add(context.self());
        View view = context.view();
        onProgress.accept(acknowledged);
        long sentAtMs = context.nowMs();
        for (Member member : view.group) {
            if (!context.isSelf(member)) {
                context.transport()
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
            context.memberContacts().onAcknowledged(response.member, sentAtMs);
            acknowledged.add(response.member);
        }
        onProgress.accept(acknowledged);
    }
}
