package myrtleladder.tally;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Decides when a process that has started may serve: once each peer that it knows has answered or
 * is unreachable, and all that those which answered had is here. Once it may, it may until its end.
 * Confined to the event loop.
 */
final class CatchUp {
    private static final Logger LOG = LogManager.getLogger(CatchUp.class);

    private final TallySet additions;
    private final TallyPeers peers;

    /** Whether this node lost its disk or is new, and so lacks what others have. */
    private final boolean isAnswerNeeded;

    private final Map<String, Target> targetByAddress = new HashMap<>();
    private boolean isStarted;
    private boolean isDone;

    /** What the process of a peer had when it answered first. */
    private record Target(String process, VersionVector known) {}

    CatchUp(TallySet additions, TallyPeers peers, boolean isAnswerNeeded) {
        this.additions = additions;
        this.peers = peers;
        this.isAnswerNeeded = isAnswerNeeded;
    }

    /** Starts once the first peers are known. */
    void start() {
        isStarted = true;
        check();
    }

    /** Takes that a peer told what it has; what a former process of its had may be lost. */
    void onAnswered(TallyPeer peer) {
        Target target = targetByAddress.get(peer.address());
        if (isDone || (target != null && target.process().equals(peer.process()))) {
            return;
        }
        VersionVector known = new VersionVector();
        known.raise(peer.known());
        targetByAddress.put(peer.address(), new Target(peer.process(), known));
    }

    /** Looks whether the process has caught up. */
    void check() {
        if (isDone || !isStarted || (isAnswerNeeded && !hasSufficientAnswers())) {
            return;
        }
        isDone = peers.all().stream().allMatch(this::isCaughtUpWith);
        if (isDone) {
            targetByAddress.clear();
            LOG.info("tallies: caught up with {} additions", additions.size());
        }
    }

    /** Peers that have not caught up may have lost their disks too, unless all answer. */
    private boolean hasSufficientAnswers() {
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

    /** Returns whether the process has caught up. */
    boolean isDone() {
        return isDone;
    }
}
