package myrtleladder.consensus;

import java.util.Random;

/**
 * The term, vote and role of this node. It alone makes transitions between roles; the other classes
 * ask for them. Invariants: the term never decreases; in one term a node votes for at most one
 * candidate; a node is the leader only of a term in which it voted for itself.
 */
final class QuorumState {
    private final ProcessId self;
    private final ConsensusSettings settings;
    private final Random random;
    private final ReplicatedLog log;
    private final CommittedState committed;
    private final ConsensusEnvironment environment;
    private Term term = Term.NONE;

    /** Null while this node has not voted in its term. */
    private ProcessId votedFor;

    private RoleState role = new FollowerState(null);
    private long startedAtUs;
    private long lastLeaderContactUs;
    private long electionDeadlineUs;

    /**
     * Index up to which this node has acknowledged entries in its term: none of these may be
     * replaced by a snapshot that ends earlier.
     */
    private long acknowledgedIndex;

    QuorumState(
            ProcessId self,
            ConsensusSettings settings,
            Random random,
            ReplicatedLog log,
            CommittedState committed,
            ConsensusEnvironment environment) {
        this.self = self;
        this.settings = settings;
        this.random = random;
        this.log = log;
        this.committed = committed;
        this.environment = environment;
    }

    /** Starts as a follower without a leader; the first election is delayed by the start. */
    void start(long nowUs) {
        startedAtUs = nowUs;
        lastLeaderContactUs = nowUs - 2 * settings.electionTimeoutUs();
        electionDeadlineUs =
                nowUs + settings.bootstrapDelayUs() + random.nextLong(settings.electionTimeoutUs());
    }

    ProcessId self() {
        return self;
    }

    Term term() {
        return term;
    }

    RoleState role() {
        return role;
    }

    boolean isLeader() {
        return role instanceof LeaderState;
    }

    /** The leader of the term, null if it is not known. */
    ProcessId leader() {
        if (role instanceof LeaderState) {
            return self;
        }
        return role instanceof FollowerState follower ? follower.leader() : null;
    }

    /** Whether this process has a vote: on the council and in the newest view of its log. */
    boolean isVoter() {
        return settings.isCouncilMember(self.name()) && log.view().has(self);
    }

    /** Whether this process may support a bootstrap. */
    boolean isReadyToBootstrap(long nowUs) {
        return isVoter() || nowUs - startedAtUs >= settings.bootstrapDelayUs();
    }

    /** Whether this node leads, or has heard its leader within the election timeout. */
    boolean hasLiveLeader(long nowUs) {
        return isLeader()
                || (leader() != null && nowUs - lastLeaderContactUs < settings.electionTimeoutUs());
    }

    /** Whether a leader was heard within twice the election timeout. */
    boolean hasRecentLeaderContact(long nowUs) {
        return leader() != null && nowUs - lastLeaderContactUs < 2 * settings.electionTimeoutUs();
    }

    boolean isElectionDue(long nowUs) {
        return nowUs >= electionDeadlineUs;
    }

    void resetElectionDeadline(long nowUs) {
        electionDeadlineUs =
                nowUs
                        + settings.electionTimeoutUs()
                        + random.nextLong(settings.electionTimeoutUs());
    }

    /** Leaves a candidate with a longer log the time to be elected first. */
    void postponeElection(long nowUs) {
        electionDeadlineUs = Math.max(electionDeadlineUs, nowUs + settings.electionTimeoutUs());
    }

    /** Notes that the leader of the term was heard. */
    void recordLeaderContact(long nowUs) {
        lastLeaderContactUs = nowUs;
        resetElectionDeadline(nowUs);
    }

    long acknowledgedIndex() {
        return acknowledgedIndex;
    }

    /** Raises the acknowledged index; a smaller one changes nothing. */
    void acknowledgeUpTo(long index) {
        acknowledgedIndex = Math.max(acknowledgedIndex, index);
    }

    /** Sets the acknowledged index to the end of a log that this node itself has extended. */
    void setAcknowledgedIndex(long index) {
        acknowledgedIndex = index;
    }

    /** Whether this node may vote for a candidate in a term. */
    boolean canVoteFor(ProcessId candidate, Term candidateTerm) {
        return candidateTerm.compareTo(term) > 0
                || (candidateTerm.equals(term) && candidate.equals(votedFor));
    }

    /**
     * Follows a leader, or nobody.
     *
     * @param newTerm not below the current term
     * @param leader null if it is not known
     * @param reason for people, if this node was the leader
     */
    void transitionToFollower(long nowUs, Term newTerm, ProcessId leader, String reason) {
        if (isLeader()) {
            environment.onEvent(
                    new ConsensusEvent(
                            ConsensusEvent.Kind.LEADS_NO_MORE, committed.view(), reason));
        }
        if (newTerm.compareTo(term) > 0) {
            term = newTerm;
            votedFor = null;
            acknowledgedIndex = 0;
        }
        role = new FollowerState(leader);
        resetElectionDeadline(nowUs);
    }

    /** Follows nobody in the term of a candidate and votes for that one. */
    void transitionToVoted(long nowUs, Term newTerm, ProcessId candidate) {
        transitionToFollower(nowUs, newTerm, null, candidate + " is voted for");
        votedFor = candidate;
    }

    /** Begins a round of pre-vote requests. */
    PreVoteRound transitionToProspective(long nowUs) {
        PreVoteRound round = new PreVoteRound(nowUs, unanimousSinceUs());
        role = new ProspectiveState(round);
        return round;
    }

    /** The previous round's value as long as that round found the council unanimous. */
    private long unanimousSinceUs() {
        PreVoteRound previous = preVote();
        return previous != null && previous.areAllReadyToBootstrap(settings.council().size() - 1)
                ? previous.unanimousSinceUs()
                : PreVoteRound.NOT_UNANIMOUS;
    }

    /** The last round of pre-vote requests since this node followed or led, null if none. */
    PreVoteRound preVote() {
        if (role instanceof ProspectiveState prospective) {
            return prospective.preVote();
        }
        return role instanceof CandidateState candidate ? candidate.preVote() : null;
    }

    /** Raises the term and votes for itself. */
    CandidateState transitionToCandidate(long nowUs, Term newTerm, boolean bootstrap) {
        CandidateState candidate = new CandidateState(self, preVote(), nowUs, bootstrap, isVoter());
        term = newTerm;
        votedFor = self;
        acknowledgedIndex = 0;
        role = candidate;
        return candidate;
    }

    /** Leads the term. */
    LeaderState transitionToLeader(long nowUs) {
        LeaderState leader = new LeaderState();
        role = leader;
        lastLeaderContactUs = nowUs;
        return leader;
    }
}
