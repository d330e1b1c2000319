package myrtleladder.consensus;

/**
 * How a leader is elected. A node first asks whether it would be voted for (pre-vote), so that one
 * that was partitioned disturbs nobody when it comes back. It is elected by a quorum of the
 * council, counted over the processes that its log has taken in (Raft, section 5.2).
 *
 * <p>Or it bootstraps the log anew. For that so many names of the council have to be held by
 * processes that never had a vote, each of which grants its vote, that the others can't be a
 * quorum: then nothing can be committed any more by the processes that had a vote, whatever each of
 * them knows. Those that are alive vote as well if they can be reached, and what they know is kept,
 * since nobody votes for a candidate whose log is behind. A partitioned minority never has a
 * majority of names, so it can't bootstrap.
 */
final class ElectionManager {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final QuorumState quorum;
    private final ConsensusSettings settings;
    private final ReplicatedLog log;
    private final CommittedState committed;
    private final ObservedMembership membership;
    private final LogReplicator replicator;
    private final MessageSender sender;
    private final ConsensusEnvironment environment;

    /** The greatest term in any pre-vote response so far. */
    private Term highestTerm = Term.NONE;

    ElectionManager(
            QuorumState quorum,
            ConsensusSettings settings,
            ReplicatedLog log,
            CommittedState committed,
            ObservedMembership membership,
            LogReplicator replicator,
            MessageSender sender,
            ConsensusEnvironment environment) {
        this.quorum = quorum;
        this.settings = settings;
        this.log = log;
        this.committed = committed;
        this.membership = membership;
        this.replicator = replicator;
        this.sender = sender;
        this.environment = environment;
    }

    /** Moves on with each heartbeat interval of a node that is not the leader. */
    void onHeartbeatInterval(long nowUs) {
        if (quorum.role() instanceof ProspectiveState prospective
                && prospective.preVote().isOpen()
                && canBootstrap(nowUs, prospective.preVote())) {
            startElection(nowUs, nextEpochTerm(), true);
        } else if (quorum.isElectionDue(nowUs)) {
            startPreVote(nowUs);
        }
    }

    /** The first term of an epoch beyond all that are known, and not before the wall clock. */
    private Term nextEpochTerm() {
        long knownEpoch = Math.max(quorum.term().epoch(), highestTerm.epoch());
        long wallClockS = environment.wallClockUs() / MICROS_PER_SECOND;
        return new Term(Math.max(knownEpoch + 1, wallClockS), 1);
    }

    private Term nextTerm() {
        Term current = quorum.term();
        long round =
                highestTerm.epoch() == current.epoch()
                        ? Math.max(current.round(), highestTerm.round())
                        : current.round();
        return new Term(current.epoch(), round + 1);
    }

    private void startPreVote(long nowUs) {
        quorum.resetElectionDeadline(nowUs);
        if (!settings.isCouncilMember(quorum.self().name()) || !quorum.isReadyToBootstrap(nowUs)) {
            return;
        }
        PreVoteRound round = quorum.transitionToProspective(nowUs);
        sendToCouncil(
                new PreVoteRequest(
                        quorum.self(), quorum.term(), log.lastIndex(), log.lastTerm(), nowUs));
        startElectionIfWanted(nowUs, round);
    }

    /** Sends to the council, both to processes in the newest view and to those observed. */
    private void sendToCouncil(Message message) {
        for (ProcessId peer : membership.peers()) {
            if (settings.isCouncilMember(peer.name())) {
                sender.send(peer, message);
            }
        }
    }

    /** Answers whether this node would vote for another one; changes neither term nor vote. */
    void onPreVoteRequest(long nowUs, PreVoteRequest request) {
        boolean isUpToDate = log.isCoveredBy(request.lastLogTerm(), request.lastLogIndex());
        PreVoteRound round = quorum.preVote();
        if (isUpToDate
                && !request.lastLogTerm().equals(log.lastTerm())
                && round != null
                && round.isOpen()) {
            quorum.postponeElection(nowUs);
            round.abandon();
        }
        sender.send(
                request.from(),
                new PreVoteResponse(
                        quorum.self(),
                        request.from(),
                        quorum.term(),
                        newestView(),
                        request.sentAtUs(),
                        isUpToDate && !quorum.hasLiveLeader(nowUs),
                        quorum.isVoter(),
                        quorum.isReadyToBootstrap(nowUs)));
    }

    /** Counts a response to this node's pre-vote request. */
    void onPreVoteResponse(long nowUs, PreVoteResponse response) {
        if (highestTerm.compareTo(response.term()) < 0) {
            highestTerm = response.term();
        }
        PreVoteRound round = quorum.preVote();
        if (round != null
                && round.isAnsweredBy(response)
                && response.wouldVote()
                && settings.isCouncilMember(response.from().name())) {
            round.add(response);
            startElectionIfWanted(nowUs, round);
        }
    }

    private void startElectionIfWanted(long nowUs, PreVoteRound round) {
        boolean isCandidate = quorum.role() instanceof CandidateState;
        if (!isCandidate && quorum.isVoter() && countVoters(round) >= settings.quorumSize()) {
            startElection(nowUs, nextTerm(), false);
        }
    }

    /** How many processes with a vote, this one among them, are in a round. */
    private int countVoters(PreVoteRound round) {
        int voters = quorum.isVoter() ? 1 : 0;
        for (PreVoteResponse response : round.responses()) {
            voters += log.view().has(response.from()) ? 1 : 0;
        }
        return voters;
    }

    /** Epoch and number of the view in which this node has its vote. */
    private Term newestView() {
        return new Term(log.view().epoch(), log.view().number());
    }

    /**
     * Whether a process can't have a vote in the newest view: it never had one, or it was removed
     * and has not heard of that. A process is added again only when its log has caught up, and that
     * of a removed one does not even reach the view that is committed here.
     */
    private boolean isNonVoter(ProcessId process, boolean claimsVote, Term viewOfProcess) {
        View view = committed.view();
        Term committedView = new Term(view.epoch(), view.number());
        return !claimsVote || (!view.has(process) && viewOfProcess.compareTo(committedView) < 0);
    }

    private boolean canBootstrap(long nowUs, PreVoteRound round) {
        boolean isReady = quorum.isReadyToBootstrap(nowUs);
        int ready = isReady ? 1 : 0;
        int readyNonVoters = isReady && !quorum.isVoter() ? 1 : 0;
        for (PreVoteResponse response : round.responses()) {
            if (response.isReadyToBootstrap()) {
                ready++;
                boolean isNonVoter =
                        isNonVoter(response.from(), response.isVoter(), response.newestView());
                readyNonVoters += isNonVoter ? 1 : 0;
            }
        }
        if (isEarlierQuorumLost(ready, readyNonVoters)) {
            return true;
        }
        if (ready < settings.council().size()) {
            return false;
        }
        round.markUnanimous(nowUs);
        return countVoters(round) < settings.quorumSize()
                || nowUs - round.unanimousSinceUs() >= settings.bootstrapDelayUs();
    }

    /** Whether so many names are held by new processes that no earlier quorum can be left. */
    private boolean isEarlierQuorumLost(int all, int nonVoters) {
        return all >= settings.quorumSize() && nonVoters >= settings.bootstrapThreshold();
    }

    private void startElection(long nowUs, Term term, boolean bootstrap) {
        CandidateState candidate = quorum.transitionToCandidate(nowUs, term, bootstrap);
        environment.onFaultPoint(FaultPoint.VOTE_ASKING);
        sendToCouncil(
                new VoteRequest(
                        quorum.self(),
                        term,
                        log.lastIndex(),
                        log.lastTerm(),
                        nowUs,
                        bootstrap,
                        quorum.isVoter()));
        leadIfElected(nowUs, candidate);
    }

    /** Votes for a candidate if this node may. */
    void onVoteRequest(long nowUs, VoteRequest request) {
        environment.onFaultPoint(FaultPoint.VOTE_TAKEN);
        if (!quorum.canVoteFor(request.from(), request.term())
                || quorum.hasLiveLeader(nowUs)
                || !log.isCoveredBy(request.lastLogTerm(), request.lastLogIndex())
                || (request.isBootstrap() && !quorum.isReadyToBootstrap(nowUs))) {
            return;
        }
        boolean wasVoter = quorum.isVoter();
        quorum.transitionToVoted(nowUs, request.term(), request.from());
        environment.onFaultPoint(FaultPoint.VOTE_PROMISED);
        sender.send(
                request.from(),
                new VoteResponse(
                        quorum.self(),
                        request.from(),
                        quorum.term(),
                        newestView(),
                        request.sentAtUs(),
                        true,
                        wasVoter));
        environment.onFaultPoint(FaultPoint.VOTE_TOLD);
    }

    /** Counts a vote for this node. */
    void onVoteResponse(long nowUs, VoteResponse response) {
        environment.onFaultPoint(FaultPoint.VOTE_COUNTED);
        ProcessId voter = response.from();
        if (!(quorum.role() instanceof CandidateState candidate)
                || !response.isGranted()
                || !response.term().equals(quorum.term())
                || !settings.isCouncilMember(voter.name())
                || (!candidate.isBootstrap() && !log.view().has(voter))) {
            return;
        }
        boolean isNonVoter = isNonVoter(voter, response.isVoter(), response.newestView());
        if (candidate.addVote(voter, isNonVoter)) {
            leadIfElected(nowUs, candidate);
        }
    }

    private void leadIfElected(long nowUs, CandidateState candidate) {
        int votes = candidate.votes().size();
        boolean isElected =
                candidate.isBootstrap()
                        ? canBootstrapWith(votes, candidate.votesOfNonVoters())
                        : votes >= settings.quorumSize();
        if (isElected) {
            replicator.lead(nowUs, candidate);
        }
    }

    /**
     * Whether votes suffice for a bootstrap. If the whole council votes, nobody is left out who
     * might know more: that also ends a view that took in too few of the living, and could not be
     * committed before the others ended.
     */
    private boolean canBootstrapWith(int votes, int nonVoters) {
        return isEarlierQuorumLost(votes, nonVoters) || votes == settings.council().size();
    }
}
