package myrtleladder.consensus;

/**
 * The role of a node in its term, with the data that lasts as long as the role. Only {@link
 * QuorumState} replaces one role by another.
 */
sealed interface RoleState permits FollowerState, ProspectiveState, CandidateState, LeaderState {}
