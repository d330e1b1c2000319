/**
 * Primary-backup replication of the control plane's state, with voting members that store epochs
 * only. Without I/O: {@link myrtleladder.replication.Peers} sends requests, {@link
 * myrtleladder.replication.Storage} keeps the state and {@link myrtleladder.scheduler.Scheduler}
 * has the time.
 *
 * <p>{@link myrtleladder.replication.Replica} is the entry point. {@code QuorumState} alone makes
 * transitions between the roles: {@code JoiningState}, {@code FollowerState}, {@code
 * CandidateState} (one attempt to install a view) and {@code PrimaryState}. {@code
 * VoterRequestHandler} answers the requests of candidates and primaries in every role. What the
 * roles share and what outlives them is in {@code ReplicaContext}.
 *
 * <p>All classes are confined to one event loop. What is guaranteed under failures, and why, is in
 * docs/control-safety.md.
 */
package myrtleladder.replication;
