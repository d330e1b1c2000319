/**
 * Consensus of a cluster without disks: numbered views of its members and a short replicated log,
 * after Raft. Pure: no socket and no clock; times are passed in, in microseconds of the process's
 * steady clock.
 *
 * <p>{@link myrtleladder.consensus.ConsensusNode} is the entry point and passes each message to the
 * class with that job: {@code ElectionManager} (pre-vote, votes, bootstrap), {@code LogReplicator}
 * and {@code SnapshotSender} (leader), {@code LeaderMessageHandler} (follower), {@code ViewChanger}
 * (members), {@code ProposalQueue} (commands of this process). {@code QuorumState} alone makes
 * transitions between roles; {@code CommittedState} applies what is committed to the {@link
 * myrtleladder.consensus.StateMachine}. Everything runs on the thread that calls the node. See
 * {@code docs/agreement.md}.
 */
package myrtleladder.consensus;
