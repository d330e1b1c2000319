package myrtleladder.consensus;

/**
 * A node that asks whether it would be elected before it raises its term (pre-vote; Ongaro's
 * dissertation, section 9.6).
 */
record ProspectiveState(PreVoteRound preVote) implements RoleState {}
