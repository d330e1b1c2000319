package myrtleladder.consensus;

import java.util.Map;
import java.util.Random;

/**
 * This process's part in the consensus of its cluster: Raft (Ongaro and Ousterhout, 2014) without a
 * disk. Nothing survives a process, so a restarted one is another member, which a view has to take
 * in. If so many have ended that no quorum is left, new processes bootstrap the log anew; see
 * {@link ElectionManager}.
 *
 * <p>Not thread-safe: all calls come from one thread, the event loop, and {@link
 * ConsensusEnvironment} is called on it. Times are microseconds of the process's steady clock.
 */
public final class ConsensusNode {
    /** The only timer; scheduled again each time it fires. */
    private static final String HEARTBEAT_TIMER = "beat";

    private final ConsensusSettings settings;
    private final ProcessId self;
    private final Random random;
    private final ConsensusEnvironment environment;
    private final DroppedDatagrams dropped = new DroppedDatagrams();
    private final QuorumState quorum;
    private final CommittedState committed;
    private final ObservedMembership membership;
    private final LogReplicator replicator;
    private final ProposalQueue proposals;
    private final ViewChanger viewChanger;
    private final ElectionManager elections;
    private final LeaderMessageHandler leaderMessages;

    /** Whether the last event on this said that nothing can be committed here. */
    private boolean isCutOff;

    /**
     * A node that is not started.
     *
     * @param self this process; its number has to be drawn anew at each start
     * @param seed of all random times
     * @param stateMachine is passed what is committed
     */
    public ConsensusNode(
            ConsensusSettings settings,
            ProcessId self,
            long seed,
            StateMachine stateMachine,
            ConsensusEnvironment environment) {
        this.settings = settings;
        this.self = self;
        this.random = new Random(seed);
        this.environment = environment;
        ReplicatedLog log = new ReplicatedLog();
        MessageSender sender = new MessageSender(settings.fleet(), environment, dropped);
        this.membership = new ObservedMembership(self, log, settings.viewStabilityUs());
        this.committed =
                new CommittedState(log, settings.retainedLogEntries(), stateMachine, environment);
        this.quorum = new QuorumState(self, settings, random, log, committed, environment);
        this.replicator =
                new LogReplicator(
                        quorum, settings, log, committed, membership, sender, environment);
        this.proposals =
                new ProposalQueue(
                        quorum, settings, log, committed, replicator, sender, environment);
        this.viewChanger =
                new ViewChanger(
                        quorum, settings, log, committed, membership, replicator, environment);
        this.elections =
                new ElectionManager(
                        quorum,
                        settings,
                        log,
                        committed,
                        membership,
                        replicator,
                        sender,
                        environment);
        this.leaderMessages =
                new LeaderMessageHandler(
                        quorum,
                        settings,
                        log,
                        committed,
                        membership,
                        proposals,
                        sender,
                        dropped,
                        environment);
        committed.setListener(
                new CommittedState.Listener() {
                    @Override
                    public void onApplied(long nowUs) {
                        proposals.onApplied(nowUs);
                    }

                    @Override
                    public void onLogCompacted() {
                        replicator.onLogCompacted();
                    }
                });
    }

    /** Starts the node; to be called once, before anything else. */
    public void start(long nowUs) {
        quorum.start(nowUs);
        environment.scheduleTimer(HEARTBEAT_TIMER, random.nextLong(settings.heartbeatIntervalUs()));
    }

    /**
     * Reports which members the failure detector holds to be present.
     *
     * @param members the process of each name, this one among them
     */
    public void onMembershipObserved(long nowUs, Map<String, Long> members) {
        membership.update(nowUs, members);
    }

    /** Handles a timer of {@link ConsensusEnvironment#scheduleTimer}. */
    public void onTimer(long nowUs, String timer) {
        if (!timer.equals(HEARTBEAT_TIMER)) {
            return;
        }
        if (quorum.role() instanceof LeaderState leader) {
            lead(nowUs, leader);
        } else {
            elections.onHeartbeatInterval(nowUs);
        }
        proposals.sendFirst(nowUs);
        reportContact(nowUs);
        environment.scheduleTimer(HEARTBEAT_TIMER, settings.heartbeatIntervalUs());
    }

    private void lead(long nowUs, LeaderState leader) {
        if (replicator.hasQuorum(nowUs)) {
            viewChanger.proposeIfNeeded(nowUs, leader);
            replicator.sendToAll(nowUs);
        } else {
            long timeoutMs = settings.electionTimeoutUs() / 1_000;
            quorum.transitionToFollower(
                    nowUs, quorum.term(), null, "no majority was heard for " + timeoutMs + " ms");
        }
    }

    /** Reports when contact to a quorum is lost or back. */
    private void reportContact(long nowUs) {
        boolean wasCutOff = isCutOff;
        isCutOff = !hasQuorum(nowUs);
        if (isCutOff != wasCutOff) {
            environment.onEvent(
                    new ConsensusEvent(
                            isCutOff ? ConsensusEvent.Kind.CUT_OFF : ConsensusEvent.Kind.JOINED,
                            committed.view(),
                            "term " + quorum.term()));
        }
    }

    /** Handles a datagram; one that is malformed or meant for another process is dropped. */
    public void onDatagram(long nowUs, byte[] datagram) {
        if (datagram.length > settings.maxDatagramBytes()) {
            dropped.count("oversized");
            return;
        }
        MessageFrame frame;
        try {
            frame = MessageDecoder.decode(datagram, settings.fleet());
        } catch (MessageDecoder.DecodingException e) {
            dropped.count(e.getMessage());
            return;
        }
        boolean isForOther = frame.to() != null && !frame.to().equals(self);
        if (isForOther || frame.from().equals(self)) {
            dropped.count("other life");
            return;
        }
        dispatch(nowUs, Message.of(frame));
    }

    private void dispatch(long nowUs, Message message) {
        if (message instanceof PreVoteRequest request) {
            elections.onPreVoteRequest(nowUs, request);
        } else if (message instanceof PreVoteResponse response) {
            elections.onPreVoteResponse(nowUs, response);
        } else if (message instanceof VoteRequest request) {
            elections.onVoteRequest(nowUs, request);
        } else if (message instanceof VoteResponse response) {
            elections.onVoteResponse(nowUs, response);
        } else if (message instanceof AppendRequest request) {
            leaderMessages.onAppendRequest(nowUs, request);
        } else if (message instanceof AppendResponse response) {
            replicator.onAppendResponse(nowUs, response);
        } else if (message instanceof SnapshotChunk chunk) {
            leaderMessages.onSnapshotChunk(nowUs, chunk);
        } else if (message instanceof SnapshotResponse response) {
            replicator.onSnapshotResponse(nowUs, response);
        } else if (message instanceof CommandRequest request) {
            proposals.onCommandRequest(nowUs, request);
        } else {
            throw new IllegalStateException("no handler for " + message);
        }
    }

    /**
     * Proposes a command. It is committed once and in the order of these calls, unless this process
     * ends before.
     *
     * @throws IllegalArgumentException if the command is too long for a datagram
     */
    public void propose(long nowUs, byte[] command) {
        proposals.propose(nowUs, command);
    }

    /** Whether a datagram is one of this protocol, and not of another on the same socket. */
    public static boolean isConsensusDatagram(byte[] datagram) {
        return MessageEncoder.isConsensusDatagram(datagram);
    }

    /** The last committed view, as far as this node knows. */
    public View view() {
        return committed.view();
    }

    /** Whether this node is the leader, as far as it knows. */
    public boolean isLeader() {
        return quorum.isLeader();
    }

    /** The leader, null if it is not known. */
    public ProcessId leader() {
        return quorum.leader();
    }

    /** The term that this node is in. */
    public Term term() {
        return quorum.term();
    }

    /** Index up to which entries are applied here. */
    public long lastApplied() {
        return committed.lastApplied();
    }

    /** How many commands of this process are not known to be committed. */
    public int pendingCommands() {
        return proposals.size();
    }

    /** Whether this node leads with a quorum, or has heard such a leader lately. */
    public boolean hasQuorum(long nowUs) {
        return quorum.isLeader()
                ? replicator.hasQuorum(nowUs)
                : quorum.hasRecentLeaderContact(nowUs);
    }

    /** How many datagrams were dropped, by reason. */
    public Map<String, Long> droppedDatagrams() {
        return dropped.counts();
    }
}
