package myrtleladder.consensus;

import java.util.LinkedHashMap;
import java.util.Map;

/** The leader of a term, with the progress of each peer's log. */
final class LeaderState implements RoleState {
    private final Map<ProcessId, PeerProgress> peers = new LinkedHashMap<>();

    /** The snapshot that is sent to peers that lag, null if there is none. */
    private SnapshotImage snapshot;

    /** An encoded snapshot of everything applied up to {@code index}. */
    record SnapshotImage(long index, Term term, byte[] bytes) {}

    /** What a leader knows of the log of another process. */
    static final class PeerProgress {
        /** Value of {@link #snapshotOffset} while no snapshot is being sent. */
        static final long NO_SNAPSHOT = -1;

        /** Index of the entry that is sent next. */
        long nextIndex;

        /** Index up to which the peer's log is known to match. */
        long matchIndex;

        /**
         * When the request was sent that the peer answered last. Half of the least value, so that
         * the time since then can be calculated.
         */
        long lastAckedRequestUs = Long.MIN_VALUE / 2;

        /** Bytes of the snapshot that the peer has, or {@link #NO_SNAPSHOT}. */
        long snapshotOffset = NO_SNAPSHOT;

        /** Number of the newest view in the peer's log, -1 if unknown. */
        long viewNumber = -1;

        /** Membership changes that the peer has observed; see {@link ObservedMembership}. */
        Map<String, Long> observedChanges = Map.of();

        PeerProgress(long nextIndex) {
            this.nextIndex = nextIndex;
        }

        boolean isReceivingSnapshot() {
            return snapshotOffset >= 0;
        }
    }

    Map<ProcessId, PeerProgress> peers() {
        return peers;
    }

    SnapshotImage snapshot() {
        return snapshot;
    }

    /** Replaces the snapshot; peers that were receiving the previous one start again. */
    void setSnapshot(SnapshotImage image) {
        snapshot = image;
        for (PeerProgress peer : peers.values()) {
            peer.snapshotOffset = peer.isReceivingSnapshot() ? 0 : PeerProgress.NO_SNAPSHOT;
        }
    }

    void discardSnapshot() {
        snapshot = null;
    }
}
