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
import myrtleladder.replication.PeerTransport;
import myrtleladder.scheduler.Scheduler;

/**
 * Sends additions to chosen peers, which respond once the additions are on their disks. At most one
 * request to each peer is in flight, so that the additions of a replica arrive in order. Confined
 * to the event loop.
 */
final class AdditionPusher {
    /** Timeout of a push; longer than receivers wait for their disks. */
    private static final long PUSH_TIMEOUT_MS = 700;

    /** Delay before a push that made no progress is retried. */
    private static final long RETRY_DELAY_MS = 100;

    private static final int MAX_ADDITIONS_PER_REQUEST = 500;

    private final Scheduler scheduler;
    private final PeerTransport transport;
    private final TallyPeers peers;
    private final TallySet additions;
    private final Supplier<TallyStateSummary> summary;
    private final Listener listener;
    private final Map<TallyPeer, PeerPush> pushByPeer = new HashMap<>();

    /** Is notified of the outcome of pushes. */
    interface Listener {
        /** Called when a peer has responded. */
        void onPushed(TallyPeer peer, TallySyncResponse response);

        /** Called when a push failed or timed out. */
        void onPushFailed(TallyPeer peer);
    }

    /** The additions that a peer should have on its disk, and the state of the requests to it. */
    private static final class PeerPush {
        private final VersionVector target = new VersionVector();
        private boolean isInFlight;
        private long retryNotBeforeMs;
    }

    AdditionPusher(
            Scheduler scheduler,
            PeerTransport transport,
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

    /**
     * Sends the additions of a replica, up to a sequence number, to a peer until they are on its
     * disk.
     */
    void push(TallyPeer peer, String replica, long sequence) {
        pushByPeer.keySet().removeIf(other -> !peers.contains(other));
        PeerPush push = pushByPeer.computeIfAbsent(peer, p -> new PeerPush());
        push.target.raise(replica, sequence);
        send(peer, push);
    }

    private void send(TallyPeer peer, PeerPush push) {
        List<TallyPosition> awaited = awaitedPositions(peer, push);
        boolean isBackingOff = scheduler.now() < push.retryNotBeforeMs;
        if (push.isInFlight || isBackingOff || awaited.isEmpty()) {
            return;
        }
        push.isInFlight = true;
        TallySyncRequest request =
                TallySyncRequest.push(summary.get(), missingAdditions(peer, awaited), awaited);
        transport.call(
                peer.address(),
                request,
                PUSH_TIMEOUT_MS,
                answer -> onPushAnswer(peer, push, answer));
    }

    private static List<TallyPosition> awaitedPositions(TallyPeer peer, PeerPush push) {
        List<TallyPosition> awaited = new ArrayList<>();
        for (TallyPosition laggingPosition : peer.durable().positionsBehind(push.target)) {
            awaited.add(
                    TallyPosition.of(
                            laggingPosition.replica, push.target.get(laggingPosition.replica)));
        }
        return awaited;
    }

    private List<TallyAddition> missingAdditions(TallyPeer peer, List<TallyPosition> awaited) {
        List<TallyAddition> missing = new ArrayList<>();
        for (TallyPosition position : awaited) {
            long known = peer.known().get(position.replica);
            long maxCount =
                    Math.min(MAX_ADDITIONS_PER_REQUEST - missing.size(), position.sequence - known);
            missing.addAll(additions.after(position.replica, known, (int) maxCount));
        }
        return missing;
    }

    private void onPushAnswer(TallyPeer peer, PeerPush push, Message answer) {
        push.isInFlight = false;
        if (answer instanceof TallySyncResponse response) {
            long missingBefore = peer.known().countMissing(push.target);
            listener.onPushed(peer, response);
            boolean hasProgressed = peer.known().countMissing(push.target) < missingBefore;
            long delayMs = hasProgressed ? 0 : RETRY_DELAY_MS;
            scheduler.schedule(delayMs, () -> sendIfReachable(peer, push));
        } else {
            push.retryNotBeforeMs = scheduler.now() + RETRY_DELAY_MS;
            scheduler.schedule(RETRY_DELAY_MS, () -> sendIfReachable(peer, push));
            listener.onPushFailed(peer);
        }
    }

    private void sendIfReachable(TallyPeer peer, PeerPush push) {
        if (peer.isReachable() && peers.contains(peer)) {
            send(peer, push);
        }
    }
}
