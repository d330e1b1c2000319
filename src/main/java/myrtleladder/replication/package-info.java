/**
 * Primary-backup replication of the control plane's state. The group includes witnesses, which vote
 * and store epochs and views but not the replicated state. The package does no I/O: {@link
 * myrtleladder.replication.PeerTransport} sends requests, {@link
 * myrtleladder.replication.StateStorage} stores the state and {@link
 * myrtleladder.scheduler.Scheduler} supplies the clock and timers.
 *
 * <p>{@link myrtleladder.replication.Replica} is the entry point. {@code QuorumState} makes all
 * transitions between the roles: {@code JoiningState}, {@code FollowerState}, {@code
 * CandidateState} (one attempt to install a view) and {@code PrimaryState}. {@code
 * VoterRequestHandler} handles the requests of candidates and primaries in every role. {@code
 * ReplicaContext} holds the state that the roles share and that is kept across role changes.
 *
 * <p>All classes are confined to one event loop. docs/control-safety.md describes the guarantees
 * under failures and the reasons for them.
 */
package myrtleladder.replication;
