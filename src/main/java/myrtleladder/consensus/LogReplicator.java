package myrtleladder.consensus;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import myrtleladder.consensus.LeaderState.PeerProgress;

/**
 * The leader's side of log replication (Raft, section 5.3): appends entries, sends them to the
 * peers, counts acknowledgements and advances the commit index. Does nothing on a node that is not
 * the leader, unless a method says otherwise.
 */
final class LogReplicator {
    private final QuorumState quorum;
    private final ConsensusSettings settings;
    private final ReplicatedLog log;
    private final CommittedState committed;
    private final ObservedMembership membership;
    private final SnapshotSender snapshots;
    private final MessageSender sender;
    private final ConsensusEnvironment environment;

    LogReplicator(
            QuorumState quorum,
            ConsensusSettings settings,
            ReplicatedLog log,
            CommittedState committed,
            ObservedMembership membership,
            MessageSender sender,
            ConsensusEnvironment environment) {
        this.quorum = quorum;
        this.settings = settings;
        this.log = log;
        this.committed = committed;
        this.membership = membership;
        this.sender = sender;
        this.environment = environment;
        this.snapshots = new SnapshotSender(quorum, settings, log, committed, sender, environment);
    }

    /** The state of the leader, null if this node does not lead. */
    private LeaderState leaderState() {
        return quorum.role() instanceof LeaderState leader ? leader : null;
    }

    /**
     * Whether a quorum has answered lately to what this leader sent. An answer counts from when its
     * request was sent.
     */
    boolean hasQuorum(long nowUs) {
        LeaderState leader = leaderState();
        if (leader == null) {
            return false;
        }
        int answered = quorum.isVoter() ? 1 : 0;
        for (Map.Entry<ProcessId, PeerProgress> peer : leader.peers().entrySet()) {
            long sinceAckUs = nowUs - peer.getValue().lastAckedRequestUs;
            if (isVoter(peer.getKey()) && sinceAckUs < settings.electionTimeoutUs()) {
                answered++;
            }
        }
        return answered >= settings.quorumSize();
    }

    /** Whether a peer has a vote in the newest view of the log. */
    private boolean isVoter(ProcessId peer) {
        return settings.isCouncilMember(peer.name()) && log.view().has(peer);
    }

    /**
     * Takes up the leadership that a candidate has won: those who voted have answered when they
     * were asked, and nobody else has.
     */
    void lead(long nowUs, CandidateState candidate) {
        LeaderState leader = quorum.transitionToLeader(nowUs);
        environment.onFaultPoint(FaultPoint.ELECTED);
        for (ProcessId peer : membership.peers()) {
            leader.peers().put(peer, new PeerProgress(log.lastIndex() + 1));
        }
        candidate.votes().values().stream()
                .map(leader.peers()::get)
                .filter(Objects::nonNull)
                .forEach(peer -> peer.lastAckedRequestUs = candidate.startedAtUs());
        environment.onEvent(
                new ConsensusEvent(
                        ConsensusEvent.Kind.LEADS, committed.view(), "term " + quorum.term()));
        if (candidate.isBootstrap()) {
            Map<String, Long> founders = new TreeMap<>();
            candidate.votes().values().forEach(l -> founders.put(l.name(), l.startId()));
            long viewNumber = log.view().number() + 1;
            append(nowUs, LogEntry.Kind.BOOTSTRAP, founders, null, viewNumber, null);
        } else {
            append(nowUs, LogEntry.Kind.LEADER_CHANGE, Map.of(), null, 0, null);
        }
    }

    void appendViewChange(long nowUs, Map<String, Long> changes) {
        append(nowUs, LogEntry.Kind.VIEW_CHANGE, changes, null, log.view().number() + 1, null);
    }

    void appendCommand(long nowUs, ProcessId proposer, long sequence, byte[] command) {
        append(nowUs, LogEntry.Kind.COMMAND, Map.of(), proposer, sequence, command);
    }

    private void append(
            long nowUs,
            LogEntry.Kind kind,
            Map<String, Long> memberChanges,
            ProcessId proposer,
            long sequence,
            byte[] command) {
        long index = log.lastIndex() + 1;
        log.append(
                new LogEntry(
                        index,
                        quorum.term(),
                        kind,
                        memberChanges,
                        null,
                        proposer,
                        sequence,
                        command));
        quorum.setAcknowledgedIndex(log.lastIndex());
        environment.onFaultPoint(FaultPoint.ENTRY_WRITTEN);
        advanceCommitIndex(nowUs);
        sendToAll(nowUs);
    }

    /** Sends entries, or an empty heartbeat, to all peers. */
    void sendToAll(long nowUs) {
        LeaderState leader = leaderState();
        if (leader == null) {
            return;
        }
        List<ProcessId> peers = membership.peers();
        leader.peers().keySet().retainAll(peers);
        for (ProcessId peer : peers) {
            PeerProgress progress =
                    leader.peers()
                            .computeIfAbsent(peer, p -> new PeerProgress(log.lastIndex() + 1));
            sendTo(nowUs, leader, peer, progress);
        }
    }

    private void sendTo(long nowUs, LeaderState leader, ProcessId peer, PeerProgress progress) {
        long previousIndex = progress.nextIndex - 1;
        Term previousTerm = progress.nextIndex < 1 ? null : log.termAt(previousIndex);
        if (previousTerm == null || progress.isReceivingSnapshot()) {
            snapshots.sendNextChunk(nowUs, leader, peer, progress);
            return;
        }
        List<LogEntry> entries = entriesThatFit(progress.nextIndex);
        environment.onFaultPoint(FaultPoint.ENTRIES_SENDING);
        sender.send(
                peer,
                new AppendRequest(
                        quorum.self(),
                        quorum.term(),
                        previousIndex,
                        previousTerm,
                        nowUs,
                        entries,
                        committed.commitIndex()));
    }

    /** Entries from an index on that fit into a datagram; at least one if there is any. */
    private List<LogEntry> entriesThatFit(long from) {
        List<LogEntry> entries = new ArrayList<>();
        int bytesLeft = settings.maxDatagramBytes() - MessageEncoder.MAX_HEADER_BYTES;
        for (long i = from; i <= log.lastIndex(); i++) {
            bytesLeft -= MessageEncoder.encodedSize(log.get(i));
            if (bytesLeft < 0 && !entries.isEmpty()) {
                break;
            }
            entries.add(log.get(i));
        }
        return entries;
    }

    /** Handles a peer's answer to entries. */
    void onAppendResponse(long nowUs, AppendResponse response) {
        environment.onFaultPoint(FaultPoint.ACKNOWLEDGEMENT_COUNTED);
        ProcessId peer = response.from();
        PeerProgress progress =
                recordResponse(nowUs, peer, response.term(), response.requestSentAtUs());
        if (progress == null) {
            return;
        }
        progress.viewNumber = response.viewNumber();
        progress.observedChanges = response.observedChanges();
        if (response.isSuccess()) {
            progress.snapshotOffset = PeerProgress.NO_SNAPSHOT;
            progress.matchIndex =
                    Math.max(progress.matchIndex, Math.min(response.index(), log.lastIndex()));
            progress.nextIndex = progress.matchIndex + 1;
            advanceCommitIndex(nowUs);
            LeaderState leader = leaderState();
            if (leader != null && progress.nextIndex <= log.lastIndex()) {
                sendTo(nowUs, leader, peer, progress);
            }
        } else if (progress.matchIndex == 0 || response.index() < 0) {
            moveBack(nowUs, peer, progress, response.index());
        }
    }

    /**
     * Looks for the last index at which the logs match, after a peer did not have the one that was
     * sent. What it has beyond this log, or has committed otherwise, comes from before a bootstrap:
     * a snapshot replaces it.
     *
     * @param hint the last index that may match, {@link AppendResponse#SNAPSHOT_NEEDED} for none
     */
    private void moveBack(long nowUs, ProcessId peer, PeerProgress progress, long hint) {
        long before = progress.nextIndex;
        if (hint < 0 || hint > log.lastIndex()) {
            if (progress.isReceivingSnapshot()) {
                return; // the next chunk follows with each heartbeat or response
            }
            progress.snapshotOffset = 0;
        } else {
            progress.nextIndex =
                    hint >= before ? hint + 1 : Math.max(1, Math.min(before - 1, hint + 1));
        }
        if (progress.nextIndex != before || progress.snapshotOffset == 0) {
            sendTo(nowUs, leaderState(), peer, progress);
        }
    }

    /** Handles a peer's answer to a chunk of a snapshot. */
    void onSnapshotResponse(long nowUs, SnapshotResponse response) {
        environment.onFaultPoint(FaultPoint.ACKNOWLEDGEMENT_COUNTED);
        ProcessId peer = response.from();
        PeerProgress progress =
                recordResponse(nowUs, peer, response.term(), response.requestSentAtUs());
        if (progress == null || !progress.isReceivingSnapshot()) {
            return;
        }
        LeaderState leader = leaderState();
        if (leader.snapshot() != null && response.snapshotIndex() == leader.snapshot().index()) {
            progress.snapshotOffset = response.receivedBytes();
            sendTo(nowUs, leader, peer, progress);
        }
    }

    /**
     * Notes that a peer has answered this leader. A greater term ends the leadership, also of a
     * candidate or follower.
     *
     * @return null if this node is not the leader of the peer's term, or does not know the peer
     */
    private PeerProgress recordResponse(
            long nowUs, ProcessId peer, Term peerTerm, long requestSentAtUs) {
        if (peerTerm.compareTo(quorum.term()) > 0) {
            quorum.transitionToFollower(nowUs, peerTerm, null, peer + " is in term " + peerTerm);
            return null;
        }
        LeaderState leader = leaderState();
        PeerProgress progress =
                leader != null && peerTerm.equals(quorum.term()) ? leader.peers().get(peer) : null;
        if (progress != null) {
            progress.lastAckedRequestUs =
                    Math.max(progress.lastAckedRequestUs, Math.min(nowUs, requestSentAtUs));
        }
        return progress;
    }

    /**
     * Commits entries of this term that a quorum has (Raft, section 5.4.2); the quorum is that of
     * the newest view of the log.
     */
    private void advanceCommitIndex(long nowUs) {
        List<Long> matchIndexes = new ArrayList<>();
        if (quorum.isVoter()) {
            matchIndexes.add(log.lastIndex());
        }
        leaderState()
                .peers()
                .forEach(
                        (peer, progress) -> {
                            if (isVoter(peer)) {
                                matchIndexes.add(progress.matchIndex);
                            }
                        });
        if (matchIndexes.size() < settings.quorumSize()) {
            return;
        }
        matchIndexes.sort(Comparator.reverseOrder());
        long quorumIndex = matchIndexes.get(settings.quorumSize() - 1);
        if (quorumIndex > committed.commitIndex()
                && quorum.term().equals(log.termAt(quorumIndex))) {
            committed.commitUpTo(nowUs, quorumIndex);
        }
    }

    /** Applied entries have left the log, so the snapshot that is being sent is too old. */
    void onLogCompacted() {
        LeaderState leader = leaderState();
        if (leader != null) {
            leader.discardSnapshot();
        }
    }
}
