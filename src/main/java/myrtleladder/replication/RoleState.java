package myrtleladder.replication;

/**
 * One role of a replica. {@link QuorumState} holds exactly one at a time and alone replaces it.
 * Confined to the event loop.
 */
sealed interface RoleState permits JoiningState, FollowerState, CandidateState, PrimaryState {
    /** Returns the name under which operators see the role. */
    Replica.State state();

    /** Does what is due; called each {@link ReplicationTiming#POLL_INTERVAL_MS}. */
    void poll(long nowMs);

    /** Called once when another role has replaced this one. */
    default void close() {}
}
