package myrtleladder.tally;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Decides when a newly started process may serve requests: once each known peer has responded or is
 * unreachable, and this node has all additions that the reachable peers had when they first
 * responded. This state is final for the process. Confined to the event loop.
 */
final class CatchUp {
    private static final Logger LOG = LogManager.getLogger(CatchUp.class);

    private final TallySet additions;
    private final TallyPeers peers;

    /**
     * Whether this node lost its disk or is new, so that it has to learn the additions of the
     * others.
     */
    private final boolean requiresResponse;

    private final Map<String, Target> targetByAddress = new HashMap<>();
    private boolean isStarted;
    private boolean isDone;

    /** The additions that a peer's process had when it first responded. */
    private record Target(String process, VersionVector known) {}

    CatchUp(TallySet additions, TallyPeers peers, boolean requiresResponse) {
        this.additions = additions;
        this.peers = peers;
        this.requiresResponse = requiresResponse;
    }

    /** Starts catching up. Called once the first peers are known. */
    void start() {
        isStarted = true;
        updateCompletion();
    }

    /**
     * Records the additions of a peer that responded. A new process of the peer replaces the
     * previous target, because the additions of the previous process may be lost.
     */
    void onResponse(TallyPeer peer) {
        Target target = targetByAddress.get(peer.address());
        if (isDone || (target != null && target.process().equals(peer.process()))) {
            return;
        }
        VersionVector known = new VersionVector();
        known.raise(peer.known());
        targetByAddress.put(peer.address(), new Target(peer.process(), known));
    }

    /** Checks whether this process has caught up. */
    void updateCompletion() {
        if (isDone || !isStarted || (requiresResponse && !hasSufficientResponses())) {
            return;
        }
        isDone = peers.all().stream().allMatch(this::isCaughtUpWith);
        if (isDone) {
            targetByAddress.clear();
            LOG.info("tallies: caught up, {} additions known", additions.size());
        }
    }

    /**
     * Returns whether a reachable peer has caught up, or all peers are reachable. Peers that have
     * not caught up may have lost their disks too, so they suffice only if all of them respond.
     */
    private boolean hasSufficientResponses() {
        Collection<TallyPeer> all = peers.all();
        return all.stream().anyMatch(peer -> peer.isReachable() && peer.hasCaughtUp())
                || (!all.isEmpty() && all.stream().allMatch(TallyPeer::isReachable));
    }

    private boolean isCaughtUpWith(TallyPeer peer) {
        Target target = targetByAddress.get(peer.address());
        return switch (peer.reachability()) {
            case UNKNOWN -> false;
            case UNREACHABLE -> true;
            case REACHABLE -> target != null && additions.vector().includes(target.known());
        };
    }

    /** Returns whether this process has caught up. */
    boolean isDone() {
        return isDone;
    }
}
