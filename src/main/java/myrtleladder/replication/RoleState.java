package myrtleladder.replication;

/**
 * A role of a replica. {@link QuorumState} holds exactly one at a time and is the only class that
 * replaces it. Confined to the event loop.
 */
sealed interface RoleState permits JoiningState, FollowerState, CandidateState, PrimaryState {
    /** Returns the kind of role, under the name that operators see. */
    Replica.State state();

    /** Performs due work. Called every {@link ReplicationTiming#POLL_INTERVAL_MS}. */
    void poll(long nowMs);

    /** Called once, after another role has replaced this one. */
    default void close() {}
}
