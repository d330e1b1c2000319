package myrtleladder.tally;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.TallyAddition;
import myrtleladder.protocol.TallyPosition;
import myrtleladder.protocol.TallyStateSummary;
import myrtleladder.protocol.TallySyncRequest;
import myrtleladder.protocol.TallySyncResponse;
import myrtleladder.replication.Peers;
import myrtleladder.scheduler.Scheduler;

/**
 * Sends additions to chosen peers, which respond once the additions are on their disks. At most one request to each peer is in flight, so that the additions of a replica arrive in order. Confined to the event loop.
 */
final class AdditionPusher {
    /** Timeout of a push; longer than receivers wait for their disks. */
    private static final long TIMEOUT_MS = 700;

    /** Delay before a push that made no progress is retried. */
    private static final long RETRY_DELAY_MS = 100;

    private static final int MAX_ADDITIONS = 500;

    private final Scheduler scheduler;
    private final Peers transport;
    private final TallyPeers peers;
    private final TallySet additions;
    private final Supplier<TallyStateSummary> summary;
    private final Listener listener;
    private final Map<TallyPeer, Push> pushByPeer = new HashMap<>();

    /** Is notified of the outcome of pushes. */
    interface Listener {
        /** Called when a peer has responded. */
        void onPushed(TallyPeer peer, TallySyncResponse response);

        /** Called when a push failed or timed out. */
        void onPushFailed(TallyPeer peer);
    }

    /** The additions that a peer should have on its disk, and the state of the requests to it. */
    private static final class Push {
        private final VersionVector wanted = new VersionVector();
        private boolean isInFlight;
        private long notBeforeMs;
    }

    AdditionPusher(
            Scheduler scheduler,
            Peers transport,
            TallyPeers peers,
            TallySet additions,
            Supplier<TallyStateSummary> summary,
            Listener listener) {
        this.scheduler = scheduler;
        this.transport = transport;
        this.peers = peers;
        this.additions = additions;
        this.summary = summary;
        this.listener = listener;
    }

    /** Sends the additions of a replica, up to a sequence number, to a peer until they are on its disk. */
    void push(TallyPeer peer, String replica, long sequence) {
        pushByPeer.keySet().removeIf(other -> !peers.contains(other));
        Push push = pushByPeer.computeIfAbsent(peer, p -> new Push());
        push.wanted.raise(replica, sequence);
        send(peer, push);
    }

    private void send(TallyPeer peer, Push push) {
        List<TallyPosition> awaited = awaited(peer, push);
        boolean isHeldBack = scheduler.now() < push.notBeforeMs;
        if (push.isInFlight || isHeldBack || awaited.isEmpty()) {
            return;
        }
        push.isInFlight = true;
        TallySyncRequest request =
                TallySyncRequest.push(summary.get(), missing(peer, awaited), awaited);
        transport.call(peer.address(), request, TIMEOUT_MS, answer -> onAnswer(peer, push, answer));
    }

    private static List<TallyPosition> awaited(TallyPeer peer, Push push) {
        List<TallyPosition> awaited = new ArrayList<>();
        for (TallyPosition behind : peer.durable().positionsBehind(push.wanted)) {
            awaited.add(TallyPosition.of(behind.replica, push.wanted.get(behind.replica)));
        }
        return awaited;
    }

    private List<TallyAddition> missing(TallyPeer peer, List<TallyPosition> awaited) {
        List<TallyAddition> missing = new ArrayList<>();
        for (TallyPosition position : awaited) {
            long known = peer.known().get(position.replica);
            long left = Math.min(MAX_ADDITIONS - missing.size(), position.sequence - known);
            missing.addAll(additions.after(position.replica, known, (int) left));
        }
        return missing;
    }

    private void onAnswer(TallyPeer peer, Push push, Message answer) {
        push.isInFlight = false;
        if (answer instanceof TallySyncResponse response) {
            long missingBefore = peer.known().countMissing(push.wanted);
            listener.onPushed(peer, response);
            boolean hasProgressed = peer.known().countMissing(push.wanted) < missingBefore;
            long delayMs = hasProgressed ? 0 : RETRY_DELAY_MS;
            scheduler.schedule(delayMs, () -> sendIfReachable(peer, push));
        } else {
            push.notBeforeMs = scheduler.now() + RETRY_DELAY_MS;
            scheduler.schedule(RETRY_DELAY_MS, () -> sendIfReachable(peer, push));
            listener.onPushFailed(peer);
        }
    }

    private void sendIfReachable(TallyPeer peer, Push push) {
        if (peer.isReachable() && peers.contains(peer)) {
            send(peer, push);
        }
    }
}
