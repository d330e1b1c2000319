package myrtleladder.tally;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.TallyStateSummary;
import myrtleladder.protocol.TallySyncRequest;
import myrtleladder.protocol.TallySyncResponse;
import myrtleladder.replication.PeerTransport;
import myrtleladder.scheduler.Scheduler;

/**
 * Pulls the additions that this node lacks from all peers in turn, continuously. A request carries
 * a version vector and its response the additions that the vector lacks, so the traffic is
 * proportional to the difference. While one peer has more additions than fit into one response, the
 * others are asked only for their vectors, so that no addition is sent several times. Confined to
 * the event loop.
 */
final class AntiEntropy {
    /** Interval at which each peer is pulled from once. */
    static final long ROUND_INTERVAL_MS = 300;

    /** Timeout of a pull request. */
    static final long PULL_TIMEOUT_MS = 600;

    /**
     * If a failure is delivered later than this after the request's timeout, the process was
     * suspended, and the failure is not evidence that the peer is unreachable.
     */
    private static final long SUSPENSION_THRESHOLD_MS = 200;

    private static final int MAX_ADDITIONS_PER_RESPONSE = 500;

    private final Scheduler scheduler;
    private final PeerTransport transport;
    private final TallyPeers peers;
    private final Supplier<TallyStateSummary> summary;
    private final Listener listener;

    private final Set<TallyPeer> inFlight = new HashSet<>();
    private int nextPeerIndex;

    /** The peer that has more additions than one response carries, null if there is none. */
    private TallyPeer bulkSource;

    /** Is notified of the outcome of pull requests. */
    interface Listener {
        /** Called when a peer has responded. */
        void onPulled(TallyPeer peer, TallySyncResponse response);

        /** Called when a request that was sent at the given time failed or timed out. */
        void onPullFailed(TallyPeer peer, long sentAtMs);
    }

    AntiEntropy(
            Scheduler scheduler,
            PeerTransport transport,
            TallyPeers peers,
            Supplier<TallyStateSummary> summary,
            Listener listener) {
        this.scheduler = scheduler;
        this.transport = transport;
        this.peers = peers;
        this.summary = summary;
        this.listener = listener;
    }

    /** Starts to pull from all peers in turn. */
    void start() {
        pullAndReschedule();
    }

    private void pullAndReschedule() {
        long delayMs = ROUND_INTERVAL_MS / Math.max(1, peers.all().size());
        scheduler.schedule(delayMs, this::pullAndReschedule);
        pullFromNextPeer();
    }

    private void pullFromNextPeer() {
        List<TallyPeer> all = List.copyOf(peers.all());
        for (int i = 0; i < all.size(); i++) {
            TallyPeer next = all.get(nextPeerIndex++ % all.size());
            if (!inFlight.contains(next)) {
                pull(next);
                return;
            }
        }
    }

    /** Pulls from a peer immediately, unless a request to it is in flight. */
    void pull(TallyPeer peer) {
        if (!inFlight.add(peer)) {
            return;
        }
        boolean requestsAdditions = bulkSource == null || bulkSource == peer;
        TallySyncRequest request =
                TallySyncRequest.pull(
                        summary.get(), requestsAdditions ? MAX_ADDITIONS_PER_RESPONSE : 0);
        long sentAtMs = scheduler.now();
        transport.call(
                peer.address(),
                request,
                PULL_TIMEOUT_MS,
                answer -> onPullAnswer(peer, sentAtMs, answer));
    }

    private void onPullAnswer(TallyPeer peer, long sentAtMs, Message answer) {
        inFlight.remove(peer);
        if (!(answer instanceof TallySyncResponse response)) {
            updateBulkSource(peer, false);
            onPullFailed(peer, sentAtMs);
            return;
        }
        updateBulkSource(peer, response.additions.size() >= MAX_ADDITIONS_PER_RESPONSE);
        listener.onPulled(peer, response);
        if (bulkSource == peer) {
            scheduler.schedule(0, () -> pull(peer));
        }
    }

    private void onPullFailed(TallyPeer peer, long sentAtMs) {
        if (scheduler.now() - sentAtMs <= PULL_TIMEOUT_MS + SUSPENSION_THRESHOLD_MS) {
            listener.onPullFailed(peer, sentAtMs);
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
