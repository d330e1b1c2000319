package myrtleladder.tally;

import java.util.function.Supplier;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.TallyStateSummary;
import myrtleladder.protocol.TallySyncRequest;
import myrtleladder.protocol.TallySyncResponse;
import myrtleladder.replication.Peers;
import myrtleladder.scheduler.Scheduler;

/**
 * Pulls from each peer, over and over, the additions that this node lacks. The bytes grow with the
 * difference: a request carries a version vector, its answer what the vector lacks. While one peer
 * has much to give, the others are asked for their vectors only, so that nothing is sent several
 * times. Confined to the event loop.
 */
final class AntiEntropy {
    /** Time from one request to a peer to the next, in milliseconds. */
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

    /** The peer that has more to give than one answer carries, null for none. */
    private TallyPeer bulkSource;

    /** Is told of the outcome of requests. */
    interface Listener {
        /** A peer has answered. */
        void onAnswered(TallyPeer peer, TallySyncResponse response);

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

    /** Begins to pull from a peer, until it is forgotten. */
    void begin(TallyPeer peer) {
        if (!peers.contains(peer)) {
            updateBulkSource(peer, false);
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
        long elapsedMs = scheduler.now() - sentAtMs;
        if (answer instanceof TallySyncResponse response) {
            updateBulkSource(peer, response.additions.size() >= MAX_ADDITIONS);
            listener.onAnswered(peer, response);
        } else {
            updateBulkSource(peer, false);
            if (elapsedMs <= TIMEOUT_MS + SUSPENSION_MS) {
                listener.onUnanswered(peer, sentAtMs);
            }
        }
        long delayMs = bulkSource == peer ? 0 : INTERVAL_MS - elapsedMs;
        scheduler.schedule(delayMs, () -> begin(peer));
    }

    private void updateBulkSource(TallyPeer peer, boolean hasMore) {
        if (hasMore && bulkSource == null) {
            bulkSource = peer;
        } else if (!hasMore && bulkSource == peer) {
            bulkSource = null;
        }
    }
}
