package myrtleladder.consensus;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Commands that this process has proposed and that are not known to be committed, in the order of
 * the calls. The first one is sent to the leader again with each heartbeat until it is applied; the
 * sequence number makes it take effect once. On the leader it also appends other processes'
 * commands.
 */
final class ProposalQueue {
    private final QuorumState quorum;
    private final ConsensusSettings settings;
    private final ReplicatedLog log;
    private final CommittedState committed;
    private final LogReplicator replicator;
    private final MessageSender sender;
    private final ConsensusEnvironment environment;
    private final Deque<byte[]> commands = new ArrayDeque<>();

    /** Sequence number of the first command in the queue. */
    private long firstSequence = 1;

    ProposalQueue(
            QuorumState quorum,
            ConsensusSettings settings,
            ReplicatedLog log,
            CommittedState committed,
            LogReplicator replicator,
            MessageSender sender,
            ConsensusEnvironment environment) {
        this.quorum = quorum;
        this.settings = settings;
        this.log = log;
        this.committed = committed;
        this.replicator = replicator;
        this.sender = sender;
        this.environment = environment;
    }

    /**
     * Queues a command of this process.
     *
     * @throws IllegalArgumentException if the command is too long for a datagram
     */
    void propose(long nowUs, byte[] command) {
        if (command.length > settings.maxCommandBytes()) {
            throw new IllegalArgumentException(
                    "a command of "
                            + command.length
                            + " bytes is over the "
                            + settings.maxCommandBytes()
                            + " that fit");
        }
        commands.add(command.clone());
        if (commands.size() == 1) {
            environment.onFaultPoint(FaultPoint.COMMAND_NOTED);
            sendFirst(nowUs);
        }
    }

    int size() {
        return commands.size();
    }

    /** Sends the first command to the leader, or appends it if this node is the leader. */
    void sendFirst(long nowUs) {
        ProcessId leader = quorum.leader();
        if (commands.isEmpty() || leader == null) {
            return;
        }
        if (quorum.isLeader()) {
            appendIfNew(nowUs, quorum.self(), firstSequence, commands.peek());
        } else {
            sender.send(
                    leader,
                    new CommandRequest(
                            quorum.self(), leader, quorum.term(), firstSequence, commands.peek()));
        }
    }

    /** Handles a command that another process has sent to its leader. */
    void onCommandRequest(long nowUs, CommandRequest request) {
        environment.onFaultPoint(FaultPoint.COMMAND_TAKEN);
        if (quorum.isLeader()) {
            appendIfNew(nowUs, request.from(), request.sequence(), request.command());
        }
    }

    /** Appends a command unless it is applied or in the log already. */
    private void appendIfNew(long nowUs, ProcessId proposer, long sequence, byte[] command) {
        if (sequence <= committed.appliedSequence(proposer)) {
            return;
        }
        long firstUnapplied = Math.max(log.baseIndex(), committed.lastApplied()) + 1;
        for (long i = log.lastIndex(); i >= firstUnapplied; i--) {
            LogEntry entry = log.get(i);
            if (proposer.equals(entry.proposer()) && entry.sequence() >= sequence) {
                return;
            }
        }
        replicator.appendCommand(nowUs, proposer, sequence, command);
    }

    /** Removes commands that are applied and sends the next one. */
    void onApplied(long nowUs) {
        long applied = committed.appliedSequence(quorum.self());
        while (!commands.isEmpty() && firstSequence <= applied) {
            commands.poll();
            firstSequence++;
            sendFirst(nowUs);
        }
    }
}
