package myrtleladder.consensus;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Map;

/**
 * The follower's side of log replication and snapshot transfer (Raft, sections 5.3 and 7): takes in
 * what the leader of the term sends, and acknowledges it.
 */
final class LeaderMessageHandler {
    private final QuorumState quorum;
    private final ConsensusSettings settings;
    private final ReplicatedLog log;
    private final CommittedState committed;
    private final ObservedMembership membership;
    private final ProposalQueue proposals;
    private final MessageSender sender;
    private final DroppedDatagrams dropped;
    private final ConsensusEnvironment environment;

    /** The snapshot that is being received, null if there is none. */
    private PartialSnapshot partialSnapshot;

    /** The beginning of a snapshot, as one leader sends it. */
    private record PartialSnapshot(Term term, long index, ByteArrayOutputStream bytes) {}

    LeaderMessageHandler(
            QuorumState quorum,
            ConsensusSettings settings,
            ReplicatedLog log,
            CommittedState committed,
            ObservedMembership membership,
            ProposalQueue proposals,
            MessageSender sender,
            DroppedDatagrams dropped,
            ConsensusEnvironment environment) {
        this.quorum = quorum;
        this.settings = settings;
        this.log = log;
        this.committed = committed;
        this.membership = membership;
        this.proposals = proposals;
        this.sender = sender;
        this.dropped = dropped;
        this.environment = environment;
    }

    /**
     * Whether a message is from the leader of this term, or of a later one, which this node then
     * follows. Another sender is told the term that it missed.
     */
    private boolean acceptLeader(long nowUs, ProcessId leader, Term term, long requestSentAtUs) {
        if (term.compareTo(quorum.term()) < 0) {
            sender.send(
                    leader,
                    AppendResponse.staleTerm(
                            quorum.self(),
                            leader,
                            quorum.term(),
                            committed.lastApplied(),
                            requestSentAtUs));
            return false;
        }
        if (term.compareTo(quorum.term()) > 0 || !leader.equals(quorum.leader())) {
            quorum.transitionToFollower(nowUs, term, leader, leader + " leads term " + term);
        }
        quorum.recordLeaderContact(nowUs);
        return true;
    }

    /** Handles entries of a leader, or its heartbeat. */
    void onAppendRequest(long nowUs, AppendRequest request) {
        environment.onFaultPoint(FaultPoint.ENTRIES_TAKEN);
        long previousIndex = request.previousIndex();
        if (!areConsecutive(previousIndex, request.entries())) {
            dropped.count("malformed");
            return;
        }
        ProcessId leader = request.from();
        if (!acceptLeader(nowUs, leader, request.term(), request.sentAtUs())) {
            return;
        }
        if (previousIndex > log.lastIndex() || previousIndex < log.baseIndex()) {
            long hint = Math.min(log.lastIndex(), Math.max(previousIndex, log.baseIndex()));
            reject(nowUs, leader, request.sentAtUs(), hint);
            return;
        }
        if (!request.previousTerm().equals(log.termAt(previousIndex))) {
            // A committed entry that the leader does not have: a bootstrap did not know of it.
            boolean isCommitted = previousIndex <= committed.commitIndex();
            long hint = isCommitted ? AppendResponse.SNAPSHOT_NEEDED : previousIndex - 1;
            reject(nowUs, leader, request.sentAtUs(), hint);
            return;
        }
        if (!appendMissing(request.entries())) {
            reject(nowUs, leader, request.sentAtUs(), AppendResponse.SNAPSHOT_NEEDED);
            return;
        }
        long matchIndex = previousIndex + request.entries().size();
        quorum.acknowledgeUpTo(matchIndex);
        environment.onFaultPoint(FaultPoint.ENTRIES_KEPT);
        acknowledge(nowUs, leader, request.sentAtUs(), matchIndex);
        environment.onFaultPoint(FaultPoint.ENTRIES_ACKNOWLEDGED);
        long commitIndex = Math.min(request.commitIndex(), matchIndex);
        if (commitIndex > committed.commitIndex()) {
            committed.commitUpTo(nowUs, commitIndex);
        }
    }

    private static boolean areConsecutive(long previousIndex, List<LogEntry> entries) {
        for (int i = 0; i < entries.size(); i++) {
            if (entries.get(i).index() != previousIndex + 1 + i) {
                return false;
            }
        }
        return true;
    }

    /**
     * Appends the entries that the log does not have, in place of others at their indexes.
     *
     * @return false if one would replace a committed entry
     */
    private boolean appendMissing(List<LogEntry> entries) {
        for (LogEntry entry : entries) {
            Term existing = log.termAt(entry.index());
            if (entry.index() <= log.baseIndex() || entry.term().equals(existing)) {
                continue;
            }
            if (entry.index() <= committed.commitIndex()) {
                return false;
            }
            if (existing != null) {
                log.truncateFrom(entry.index());
            }
            log.append(entry);
        }
        return true;
    }

    private void reject(long nowUs, ProcessId leader, long requestSentAtUs, long hint) {
        respond(nowUs, leader, requestSentAtUs, false, hint);
    }

    private void acknowledge(long nowUs, ProcessId leader, long requestSentAtUs, long matchIndex) {
        respond(nowUs, leader, requestSentAtUs, true, matchIndex);
    }

    private void respond(
            long nowUs, ProcessId leader, long requestSentAtUs, boolean isSuccess, long index) {
        boolean isCouncilMember = settings.isCouncilMember(quorum.self().name());
        sender.send(
                leader,
                new AppendResponse(
                        quorum.self(),
                        leader,
                        quorum.term(),
                        index,
                        requestSentAtUs,
                        isSuccess,
                        quorum.isVoter(),
                        quorum.isReadyToBootstrap(nowUs),
                        log.view().number(),
                        isCouncilMember ? membership.stableChanges(nowUs) : Map.of()));
    }

    /** Handles a chunk of a snapshot. */
    void onSnapshotChunk(long nowUs, SnapshotChunk chunk) {
        environment.onFaultPoint(FaultPoint.SNAPSHOT_TAKEN);
        ProcessId leader = chunk.from();
        long index = chunk.snapshotIndex();
        if (!acceptLeader(nowUs, leader, chunk.term(), chunk.sentAtUs())) {
            return;
        }
        if (chunk.snapshotTerm().equals(log.termAt(index)) || index <= quorum.acknowledgedIndex()) {
            // Late: the log has what it covers, and more may be acknowledged since.
            quorum.acknowledgeUpTo(index);
            acknowledge(nowUs, leader, chunk.sentAtUs(), quorum.acknowledgedIndex());
            return;
        }
        ByteArrayOutputStream received = collect(chunk);
        if (received.size() < chunk.totalBytes()) {
            sender.send(
                    leader,
                    new SnapshotResponse(
                            quorum.self(),
                            leader,
                            quorum.term(),
                            index,
                            chunk.sentAtUs(),
                            received.size(),
                            chunk.totalBytes()));
            return;
        }
        partialSnapshot = null;
        restore(nowUs, chunk, received.toByteArray());
    }

    /** Adds a chunk to the snapshot that it belongs to, if it follows what is there. */
    private ByteArrayOutputStream collect(SnapshotChunk chunk) {
        if (partialSnapshot == null
                || !partialSnapshot.term().equals(quorum.term())
                || partialSnapshot.index() != chunk.snapshotIndex()) {
            partialSnapshot =
                    new PartialSnapshot(
                            quorum.term(), chunk.snapshotIndex(), new ByteArrayOutputStream());
        }
        ByteArrayOutputStream received = partialSnapshot.bytes();
        if (chunk.offset() == received.size()) {
            received.writeBytes(chunk.bytes());
        }
        return received;
    }

    private void restore(long nowUs, SnapshotChunk chunk, byte[] bytes) {
        long index = chunk.snapshotIndex();
        NodeSnapshot snapshot;
        try {
            snapshot = MessageDecoder.decodeSnapshot(bytes);
        } catch (MessageDecoder.DecodingException e) {
            dropped.count("snapshot " + e.getMessage());
            return;
        }
        committed.restore(index, chunk.snapshotTerm(), snapshot);
        quorum.setAcknowledgedIndex(index);
        proposals.onApplied(nowUs);
        environment.onFaultPoint(FaultPoint.SNAPSHOT_RESTORED);
        environment.onEvent(
                new ConsensusEvent(
                        ConsensusEvent.Kind.RESTORED,
                        committed.view(),
                        "by " + chunk.from() + " up to " + index));
        acknowledge(nowUs, chunk.from(), chunk.sentAtUs(), index);
    }
}
