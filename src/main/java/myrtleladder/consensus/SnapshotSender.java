package myrtleladder.consensus;

import java.util.Arrays;
import myrtleladder.consensus.LeaderState.PeerProgress;
import myrtleladder.consensus.LeaderState.SnapshotImage;

/** The leader's side of snapshot transfer: takes a snapshot and sends it chunk by chunk. */
final class SnapshotSender {
    private final QuorumState quorum;
    private final ReplicatedLog log;
    private final CommittedState committed;
    private final MessageSender sender;
    private final ConsensusEnvironment environment;

    /** Bytes of a snapshot in one datagram; Base64 encodes three bytes as four. */
    private final int maxChunkBytes;

    SnapshotSender(
            QuorumState quorum,
            ConsensusSettings settings,
            ReplicatedLog log,
            CommittedState committed,
            MessageSender sender,
            ConsensusEnvironment environment) {
        this.quorum = quorum;
        this.log = log;
        this.committed = committed;
        this.sender = sender;
        this.environment = environment;
        this.maxChunkBytes =
                (settings.maxDatagramBytes() - MessageEncoder.MAX_HEADER_BYTES) * 3 / 4;
    }

    /** Sends the chunk that follows what a peer has. */
    void sendNextChunk(long nowUs, LeaderState leader, ProcessId peer, PeerProgress progress) {
        if (needsNewSnapshot(leader)) {
            SnapshotImage image =
                    new SnapshotImage(
                            committed.lastApplied(),
                            log.termAt(committed.lastApplied()),
                            committed.snapshot());
            environment.onFaultPoint(FaultPoint.SNAPSHOT_MADE);
            leader.setSnapshot(image);
        }
        SnapshotImage image = leader.snapshot();
        int length = image.bytes().length;
        progress.snapshotOffset = Math.max(0, Math.min(progress.snapshotOffset, length));
        int from = (int) progress.snapshotOffset;
        int to = Math.min(length, from + maxChunkBytes);
        environment.onFaultPoint(FaultPoint.SNAPSHOT_SENDING);
        sender.send(
                peer,
                new SnapshotChunk(
                        quorum.self(),
                        quorum.term(),
                        image.index(),
                        image.term(),
                        nowUs,
                        Arrays.copyOfRange(image.bytes(), from, to),
                        from,
                        length));
    }

    /** A newer snapshot replaces one only while no peer has received a part of that. */
    private boolean needsNewSnapshot(LeaderState leader) {
        SnapshotImage image = leader.snapshot();
        if (image == null || image.index() < log.baseIndex()) {
            return true;
        }
        boolean isTransferRunning =
                leader.peers().values().stream().anyMatch(p -> p.snapshotOffset > 0);
        return image.index() < committed.lastApplied() && !isTransferRunning;
    }
}
