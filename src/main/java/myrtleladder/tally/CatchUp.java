package myrtleladder.tally;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Decides when a process that has started may serve: once each peer that it knew at the start has
 * answered or is unreachable, and all that those which answered had is here. Once it may, it may
 * until its end. Confined to the event loop.
 */
final class CatchUp {
    private static final Logger LOG = LogManager.getLogger(CatchUp.class);

    private final TallySet additions;
    private final TallyPeers peers;

    /** Whether this node can't know what it lacks until somebody answers. */
    private final boolean isAnswerNeeded;

    private final Map<String, Target> targetByAddress = new HashMap<>();
    private final Set<String> initialAddresses = new HashSet<>();
    private boolean isStarted;
    private boolean isDone;

    /** What the process of a peer had when it answered first. */
    private record Target(String process, VersionVector known) {}

    CatchUp(TallySet additions, TallyPeers peers, boolean isAnswerNeeded) {
        this.additions = additions;
        this.peers = peers;
        this.isAnswerNeeded = isAnswerNeeded;
    }

    /** Starts with the peers that are known now. */
    void start(List<TallyPeer> initialPeers) {
        initialPeers.forEach(peer -> initialAddresses.add(peer.address()));
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
        if (isDone || !isStarted || (isAnswerNeeded && targetByAddress.isEmpty())) {
            return;
        }
        isDone = peers.at(initialAddresses).stream().allMatch(this::isCaughtUpWith);
        if (isDone) {
            targetByAddress.clear();
            LOG.info("tallies: caught up with {} additions", additions.size());
        }
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
