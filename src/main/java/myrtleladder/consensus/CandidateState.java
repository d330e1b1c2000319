package myrtleladder.consensus;

import java.util.Map;
import java.util.TreeMap;

/** A node that has raised its term and collects votes. */
final class CandidateState implements RoleState {
    private final PreVoteRound preVote;
    private final long startedAtUs;
    private final boolean bootstrap;
    private final Map<String, ProcessId> votes = new TreeMap<>();
    private int votesOfNonVoters;

    /**
     * A candidate with its own vote.
     *
     * @param preVote the round that led to this candidacy
     * @param bootstrap whether it would bootstrap the log anew
     * @param isVoter whether it has a vote in the newest view of its log
     */
    CandidateState(
            ProcessId self,
            PreVoteRound preVote,
            long startedAtUs,
            boolean bootstrap,
            boolean isVoter) {
        this.preVote = preVote;
        this.startedAtUs = startedAtUs;
        this.bootstrap = bootstrap;
        votes.put(self.name(), self);
        votesOfNonVoters = isVoter ? 0 : 1;
    }

    PreVoteRound preVote() {
        return preVote;
    }

    long startedAtUs() {
        return startedAtUs;
    }

    boolean isBootstrap() {
        return bootstrap;
    }

    /** Adds a vote; false if one of that name is counted already. */
    boolean addVote(ProcessId voter, boolean isNonVoter) {
        if (votes.putIfAbsent(voter.name(), voter) != null) {
            return false;
        }
        votesOfNonVoters += isNonVoter ? 1 : 0;
        return true;
    }

    /** Who voted, by name. */
    Map<String, ProcessId> votes() {
        return votes;
    }

    /** Votes of processes that never had a vote in a view before. */
    int votesOfNonVoters() {
        return votesOfNonVoters;
    }
}
