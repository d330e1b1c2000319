package myrtleladder.tally;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.TallyStateSummary;
import myrtleladder.protocol.TallySyncRequest;
import myrtleladder.protocol.TallySyncResponse;
import myrtleladder.replication.Peers;
import myrtleladder.scheduler.Scheduler;

/**
 * Pulls from one peer after the other, over and over, the additions that this node lacks. The bytes
 * grow with the difference: a request carries a version vector, its answer what the vector lacks.
 * While one peer has much to give, the others are asked for their vectors only, so that nothing is
 * sent several times. Confined to the event loop.
 */
final class AntiEntropy {
    /** Time in which each peer gets its turn, in milliseconds. */
    static final long INTERVAL_MS = 300;

    /** Timeout of a request, in milliseconds. */
    static final long TIMEOUT_MS = 600;

    /**
     * An answer that comes later than this after its timeout finds a process that was suspended.
     */
    private static final long SUSPENSION_MS = 200;

    private static final int MAX_ADDITIONS = 500;

    private final Scheduler scheduler;
    private final Peers transport;
    private final TallyPeers peers;
    private final Supplier<TallyStateSummary> summary;
    private final Listener listener;

    private final Set<TallyPeer> inFlight = new HashSet<>();
    private int turn;

    /** The peer that has more to give than one answer carries, null for none. */
    private TallyPeer bulkSource;

    /** Is told of the outcome of requests. */
    interface Listener {
        /** A peer has answered. */
        void onPulled(TallyPeer peer, TallySyncResponse response);

        /** A peer has not answered a request that was sent at a time. */
        void onUnanswered(TallyPeer peer, long sentAtMs);
    }

    AntiEntropy(
            Scheduler scheduler,
            Peers transport,
            TallyPeers peers,
            Supplier<TallyStateSummary> summary,
            Listener listener) {
        this.scheduler = scheduler;
        this.transport = transport;
        this.peers = peers;
        this.summary = summary;
        this.listener = listener;
    }

    /** Starts to pull from one peer after the other. */
    void start() {
        takeTurn();
    }

    private void takeTurn() {
        long turnMs = INTERVAL_MS / Math.max(1, peers.all().size());
        scheduler.schedule(turnMs, this::takeTurn);
        pullFromNext();
    }

    private void pullFromNext() {
        List<TallyPeer> all = List.copyOf(peers.all());
        for (int i = 0; i < all.size(); i++) {
            TallyPeer next = all.get(turn++ % all.size());
            if (!inFlight.contains(next)) {
                pull(next);
                return;
            }
        }
    }

    /** Pulls from a peer now, unless a request to it is in flight. */
    void pull(TallyPeer peer) {
        if (!inFlight.add(peer)) {
            return;
        }
        boolean isPulling = bulkSource == null || bulkSource == peer;
        TallySyncRequest request =
                TallySyncRequest.pull(summary.get(), isPulling ? MAX_ADDITIONS : 0);
        long sentAtMs = scheduler.now();
        transport.call(
                peer.address(), request, TIMEOUT_MS, answer -> onAnswer(peer, sentAtMs, answer));
    }

    private void onAnswer(TallyPeer peer, long sentAtMs, Message answer) {
        inFlight.remove(peer);
        if (!(answer instanceof TallySyncResponse response)) {
            updateBulkSource(peer, false);
            onUnanswered(peer, sentAtMs);
            return;
        }
        updateBulkSource(peer, response.additions.size() >= MAX_ADDITIONS);
        listener.onPulled(peer, response);
        if (bulkSource == peer) {
            scheduler.schedule(0, () -> pull(peer));
        }
    }

    private void onUnanswered(TallyPeer peer, long sentAtMs) {
        if (scheduler.now() - sentAtMs <= TIMEOUT_MS + SUSPENSION_MS) {
            listener.onUnanswered(peer, sentAtMs);
        }
    }

    private void updateBulkSource(TallyPeer peer, boolean hasMore) {
        if (hasMore && bulkSource == null) {
            bulkSource = peer;
        } else if (!hasMore && bulkSource == peer) {
            bulkSource = null;
        }
    }
}
