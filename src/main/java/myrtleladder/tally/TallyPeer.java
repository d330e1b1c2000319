package myrtleladder.tally;

import java.util.HashSet;
import java.util.Set;
import myrtleladder.protocol.TallyStateSummary;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * What this node knows about another node: whether it is reachable and which additions it has.
 * Confined to the event loop.
 */
final class TallyPeer {
    private static final Logger LOG = LogManager.getLogger(TallyPeer.class);

    /**
     * Time without a response, in milliseconds, after which a peer is unreachable. It covers one
     * request that times out or several that fail at once.
     */
    static final long UNREACHABLE_TIMEOUT_MS = 600;

    /**
     * The same for a peer that has never responded, in milliseconds. It is longer because the peer
     * may be starting at the same time as this node.
     */
    static final long INITIAL_UNREACHABLE_TIMEOUT_MS = 1_800;

    private static final long NO_FAILURE = -1;

    /** Whether a peer responds to requests. */
    enum Reachability {
        /** It has never responded, and the timeout has not passed yet. */
        UNKNOWN,
        /** It has responded, and the timeout has not passed since. */
        REACHABLE,
        /** It has not responded within the timeout. */
        UNREACHABLE
    }

    private final String address;
    private final Set<String> formerProcesses = new HashSet<>();
    private String zone = "";
    private String process = "";
    private boolean hasCaughtUp;
    private VersionVector known = new VersionVector();
    private VersionVector durable = new VersionVector();
    private Reachability reachability = Reachability.UNKNOWN;
    private long failingSinceMs = NO_FAILURE;
    private long lastContactMs;

    TallyPeer(String address, long nowMs) {
        this.address = address;
        this.lastContactMs = nowMs;
    }

    /**
     * Applies the peer's summary of itself. A new process of the peer may have lost its disk, so
     * the state reported by the previous process is discarded, and later summaries from that
     * process are ignored.
     */
    void update(TallyStateSummary summary) {
        if (formerProcesses.contains(summary.process)) {
            return;
        }
        if (!summary.process.equals(process)) {
            formerProcesses.add(process);
            process = summary.process;
            known = new VersionVector();
            durable = new VersionVector();
        }
        zone = summary.zone;
        hasCaughtUp = summary.caughtUp;
        known.raise(VersionVector.of(summary.known));
        durable.raise(durablePart(summary));
    }

    private static VersionVector durablePart(TallyStateSummary summary) {
        VersionVector behind = VersionVector.of(summary.durable);
        Set<String> behindReplicas = new HashSet<>();
        summary.durable.forEach(position -> behindReplicas.add(position.replica));
        VersionVector part = new VersionVector();
        summary.known.forEach(
                position -> {
                    String replica = position.replica;
                    boolean isBehind = behindReplicas.contains(replica);
                    part.raise(replica, isBehind ? behind.get(replica) : position.sequence);
                });
        return part;
    }

    /** Records a response of the peer. Returns whether its reachability changed. */
    boolean onResponse(long nowMs) {
        lastContactMs = nowMs;
        failingSinceMs = NO_FAILURE;
        return transitionTo(Reachability.REACHABLE);
    }

    /**
     * Records a request that failed or timed out. Returns whether the peer's reachability changed.
     */
    boolean onRequestFailed(long sentAtMs, long nowMs) {
        if (failingSinceMs == NO_FAILURE) {
            failingSinceMs = sentAtMs;
        }
        long unreachableTimeoutMs =
                reachability == Reachability.UNKNOWN
                        ? INITIAL_UNREACHABLE_TIMEOUT_MS
                        : UNREACHABLE_TIMEOUT_MS;
        return nowMs - failingSinceMs >= unreachableTimeoutMs
                && transitionTo(Reachability.UNREACHABLE);
    }

    /**
     * Discards failed requests, because this process may have caused them by being suspended, or
     * because the peer has sent a request since.
     */
    void resetFailures() {
        failingSinceMs = NO_FAILURE;
    }

    private boolean transitionTo(Reachability next) {
        if (reachability == next) {
            return false;
        }
        LOG.info(
                "tallies: peer {} in zone {} is now {}, was {}", address, zone, next, reachability);
        reachability = next;
        return true;
    }

    String address() {
        return address;
    }

    String zone() {
        return zone;
    }

    /** Returns the identity of the process that reported last, empty before the first report. */
    String process() {
        return process;
    }

    /** Returns whether its process has caught up, as of its last report. */
    boolean hasCaughtUp() {
        return hasCaughtUp;
    }

    Reachability reachability() {
        return reachability;
    }

    boolean isReachable() {
        return reachability == Reachability.REACHABLE;
    }

    /** Returns the time at which it last responded, or at which it was added if it never did. */
    long lastContactMs() {
        return lastContactMs;
    }

    /** Returns the additions that its process is known to have in memory. */
    VersionVector known() {
        return known;
    }

    /** Returns the additions that are known to be on its disk. */
    VersionVector durable() {
        return durable;
    }
}
