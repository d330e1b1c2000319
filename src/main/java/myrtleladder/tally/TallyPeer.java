package myrtleladder.tally;

import java.util.HashSet;
import java.util.Set;
import myrtleladder.protocol.TallyStateSummary;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * What this node knows of another one: whether it answers, and which additions it has. Confined to
 * the event loop.
 */
final class TallyPeer {
    private static final Logger LOG = LogManager.getLogger(TallyPeer.class);

    /**
     * Time without answer after which a peer is unreachable, in milliseconds: that of one exchange,
     * or of several that are refused.
     */
    static final long SILENCE_MS = 600;

    /**
     * The same for a peer that never answered, which may be starting as this node is, in
     * milliseconds.
     */
    static final long FIRST_SILENCE_MS = 1_800;

    private static final long NONE = -1;

    /** Whether a peer answers. */
    enum Reachability {
        /** Neither an answer nor a long enough silence so far. */
        UNKNOWN,
        /** It has answered, and was not silent for long since. */
        REACHABLE,
        /** It is silent. */
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
    private long silentSinceMs = NONE;
    private long lastContactMs;

    TallyPeer(String address, long nowMs) {
        this.address = address;
        this.lastContactMs = nowMs;
    }

    /**
     * Takes what the peer tells of itself. A process that started anew may have lost its disk, so
     * nothing is kept of what the one before said, nor taken from it any more.
     */
    void learn(TallyStateSummary summary) {
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
        Set<String> unsynced = new HashSet<>();
        summary.durable.forEach(position -> unsynced.add(position.replica));
        VersionVector part = new VersionVector();
        summary.known.forEach(
                position -> {
                    String replica = position.replica;
                    boolean isBehind = unsynced.contains(replica);
                    part.raise(replica, isBehind ? behind.get(replica) : position.sequence);
                });
        return part;
    }

    /** Takes that the peer answered; returns whether its reachability changed. */
    boolean onAnswered(long nowMs) {
        lastContactMs = nowMs;
        silentSinceMs = NONE;
        return transitionTo(Reachability.REACHABLE);
    }

    /** Takes that a request got no answer; returns whether the peer's reachability changed. */
    boolean onUnanswered(long sentAtMs, long nowMs) {
        if (silentSinceMs == NONE) {
            silentSinceMs = sentAtMs;
        }
        long allowedMs = reachability == Reachability.UNKNOWN ? FIRST_SILENCE_MS : SILENCE_MS;
        return nowMs - silentSinceMs >= allowedMs && transitionTo(Reachability.UNREACHABLE);
    }

    /** Forgets a silence: this process may have caused it itself, or the peer was heard since. */
    void forgiveSilence() {
        silentSinceMs = NONE;
    }

    private boolean transitionTo(Reachability next) {
        if (reachability == next) {
            return false;
        }
        LOG.info("tallies: {} in {} is {}, was {}", address, zone, next, reachability);
        reachability = next;
        return true;
    }

    String address() {
        return address;
    }

    String zone() {
        return zone;
    }

    /** Identity of the process that told last, empty before the first. */
    String process() {
        return process;
    }

    /** Whether its process serves, as far as it told. */
    boolean hasCaughtUp() {
        return hasCaughtUp;
    }

    Reachability reachability() {
        return reachability;
    }

    boolean isReachable() {
        return reachability == Reachability.REACHABLE;
    }

    /** The last time at which it answered, or was made known, in milliseconds. */
    long lastContactMs() {
        return lastContactMs;
    }

    /** The additions that its process has in memory, as far as it told. */
    VersionVector known() {
        return known;
    }

    /** The additions on its disk, as far as it told. */
    VersionVector durable() {
        return durable;
    }
}
