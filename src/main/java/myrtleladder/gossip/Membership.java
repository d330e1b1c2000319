package myrtleladder.gossip;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * One process's part in the membership of its fleet: SWIM (Das, Gupta and Motivala, DSN 2002) with
 * Lifeguard's local health and suspicion timeouts (Dadgar, Phillips and Currey, 2017), and with
 * anti-entropy beside the gossip. The member table is eventually consistent: it is good for hints
 * and promises nothing.
 *
 * <p>It has no socket, clock or thread. Datagrams, timers and the time are passed in, and what it
 * wants done goes to its {@link Output}. All times are microseconds of the process's steady clock.
 * With the same seed and inputs it does the same.
 *
 * <p>Not thread-safe: all methods have to be called by one thread, as the event loop.
 *
 * <p>This class assembles the protocol and dispatches datagrams and timers to its parts.
 */
public final class Membership {
    /** Addresses without a known member are probed once in so many periods. */
    private static final int RECONNECT_PERIODS = 3;

    /**
     * With so many updates queued, those that came by anti-entropy are not disseminated as well.
     */
    private static final int MAX_QUEUED_FOR_FORWARDING = 64;

    /** Members that are told at once that this process leaves. */
    private static final int LEAVE_FANOUT = 8;

    /** How much worse a stall makes the local health. */
    private static final int STALL_PENALTY = 2;

    private static final int MICROS_PER_MILLI = 1_000;

    private final GossipSettings settings;
    private final Random random;
    private final MemberTable table = new MemberTable();
    private final DisseminationQueue queue = new DisseminationQueue();
    private final LocalHealth health = new LocalHealth();
    private final DroppedDatagrams dropped = new DroppedDatagrams();
    private final LocalMember localMember;
    private final ProtocolTimers timers;
    private final MemberEvents events;
    private final PeerSelector peers;
    private final DatagramSender sender;
    private final FailureDetector failureDetector;
    private final ProbeRelay probeRelay;
    private final SuspicionTracker suspicions;
    private final NameConflictDetector nameConflicts;
    private final UpdateProcessor updates;
    private final AntiEntropy antiEntropy;
    private final Reconnector reconnector;
    private long periodNumber;

    /** What the protocol wants done; called by the thread that calls the membership. */
    public interface Output {
        /** Sends a datagram, which may be lost, delayed, duplicated or reordered. */
        void send(String address, byte[] datagram);

        /** Asks for a call of {@link Membership#onTimer} with the token after a delay. */
        void scheduleTimer(String token, long delayUs);

        /** Reports a change of the member table. */
        void onEvent(MemberEvent event);
    }

    /**
     * A member that is not started yet.
     *
     * @param name of this process, the same at each start and not used by any other
     * @param startId drawn anew at each start, by real randomness
     * @param incarnation to begin with; one more than the last if that is known, else 0
     * @param address at which this process receives datagrams
     * @param metadata what this process publishes about itself
     * @param seeds addresses at which other members may be found
     * @param seed of all random decisions
     */
    public Membership(
            GossipSettings settings,
            String name,
            long startId,
            long incarnation,
            String address,
            MemberMetadata metadata,
            List<String> seeds,
            long seed,
            Output output) {
        this.settings = settings;
        this.random = new Random(seed);
        SequenceNumbers sequenceNumbers = new SequenceNumbers(random);
        MemberUpdate first =
                new MemberUpdate(
                        name,
                        startId,
                        incarnation,
                        MemberState.ALIVE,
                        false,
                        address,
                        name,
                        metadata);
        localMember = new LocalMember(first, table, queue);
        timers = new ProtocolTimers(output, settings.protocolPeriodUs());
        events = new MemberEvents(output);
        peers = new PeerSelector(name, table, random);
        sender = new DatagramSender(settings, localMember, table, queue, output);
        Prober prober = new Prober(settings, sequenceNumbers, peers, sender);
        failureDetector = new FailureDetector(settings, table, peers, prober, timers, health);
        probeRelay = new ProbeRelay(settings, table, prober, sender, timers);
        suspicions = new SuspicionTracker(settings, table, prober, timers, health);
        nameConflicts =
                new NameConflictDetector(settings, localMember, sequenceNumbers, sender, events);
        updates =
                new UpdateProcessor(
                        settings,
                        localMember,
                        table,
                        queue,
                        suspicions,
                        nameConflicts,
                        health,
                        events,
                        dropped);
        antiEntropy = new AntiEntropy(settings, table, sender, random);
        reconnector = new Reconnector(seeds, localMember, table, sender, random);
    }

    /** Joins the fleet by way of the seeds and starts the protocol periods. */
    public void start(long nowUs) {
        localMember.start(nowUs);
        antiEntropy.start(nowUs);
        reconnector.probeAllSeeds();
        timers.schedule(nowUs, ProtocolTimers.PERIOD, random.nextLong(settings.protocolPeriodUs()));
    }

    /** Tells some members that this process leaves; they tell the rest. */
    public void leave(long nowUs) {
        localMember.leave(nowUs);
        gossipTo(LEAVE_FANOUT);
    }

    /**
     * A datagram was received.
     *
     * @param from address of the sender
     */
    public void onDatagram(long nowUs, String from, byte[] bytes) {
        if (bytes.length > settings.maxDatagramBytes()) {
            dropped.count(DroppedDatagrams.OVERSIZED);
            return;
        }
        GossipDatagram datagram;
        try {
            datagram = GossipCodec.decode(bytes, settings.fleet());
        } catch (RejectedDatagramException e) {
            dropped.count(e.getMessage());
            return;
        }
        if (nameConflicts.isFromRival(datagram)) {
            updates.apply(nowUs, datagram.sender(), true);
            nameConflicts.onDatagram(nowUs, from, datagram);
            return;
        }
        MemberUpdate known = table.get(datagram.sender().name());
        updates.apply(nowUs, datagram.sender(), true);
        if (isFromEarlierStart(known, datagram.sender())) {
            onStaleDatagram(from, datagram, known);
            return;
        }
        applyUpdates(nowUs, datagram);
        dispatch(nowUs, from, datagram);
        antiEntropy.onTableDigest(nowUs, from, datagram);
    }

    private static boolean isFromEarlierStart(MemberUpdate known, MemberUpdate sender) {
        return known != null && known.startId() != sender.startId() && known.supersedes(sender);
    }

    /** Replayed or late; or its sender lives, and has to learn that it has been superseded. */
    private void onStaleDatagram(String from, GossipDatagram datagram, MemberUpdate known) {
        dropped.count(DroppedDatagrams.STALE);
        if (datagram.kind() == GossipDatagram.Kind.PING) {
            GossipDatagram ack = sender.compose(GossipDatagram.Kind.ACK, datagram.sequenceNumber());
            sender.send(from, ack, known);
        }
    }

    private void applyUpdates(long nowUs, GossipDatagram datagram) {
        boolean shouldDisseminate =
                datagram.kind() != GossipDatagram.Kind.UPDATES
                        || queue.size() < MAX_QUEUED_FOR_FORWARDING;
        for (MemberUpdate update : datagram.updates()) {
            updates.apply(nowUs, update, shouldDisseminate);
        }
    }

    private void dispatch(long nowUs, String from, GossipDatagram datagram) {
        long sequenceNumber = datagram.sequenceNumber();
        switch (datagram.kind()) {
            case PING ->
                    sender.send(
                            from,
                            GossipDatagram.Kind.ACK,
                            sequenceNumber,
                            datagram.sender().name());
            case ACK -> {
                suspicions.onAck(nowUs, sequenceNumber);
                probeRelay.onAck(sequenceNumber);
                failureDetector.onAck(sequenceNumber);
            }
            case NACK -> failureDetector.onNack(sequenceNumber);
            case PING_REQUEST -> probeRelay.onPingRequest(nowUs, from, datagram);
            case DIGESTS -> antiEntropy.onDigests(from, datagram.bucketDigests());
            case UPDATES -> antiEntropy.onBucketsRequested(from, datagram.requestedBuckets());
            default -> {
                // GOSSIP carries updates alone, and these have been applied.
            }
        }
    }

    /** A timer that was asked for by {@link Output#scheduleTimer} has fired. */
    public void onTimer(long nowUs, String token) {
        long stallUs = timers.fired(nowUs, token);
        if (stallUs > 0) {
            onStall(stallUs);
        }
        if (token.equals(ProtocolTimers.PERIOD)) {
            onPeriod(nowUs);
        } else if (token.startsWith(ProtocolTimers.ACK_TIMEOUT)) {
            failureDetector.onAckTimeout(sequenceNumber(token, ProtocolTimers.ACK_TIMEOUT));
        } else if (token.startsWith(ProtocolTimers.RELAY_TIMEOUT)) {
            probeRelay.onTimeout(sequenceNumber(token, ProtocolTimers.RELAY_TIMEOUT));
        } else if (token.startsWith(ProtocolTimers.SUSPICION_TIMEOUT)) {
            String suspect = token.substring(ProtocolTimers.SUSPICION_TIMEOUT.length());
            if (suspicions.onTimeout(nowUs, suspect)) {
                updates.declareDead(nowUs, suspect);
            }
        }
    }

    private static long sequenceNumber(String token, String prefix) {
        return Long.parseLong(token.substring(prefix.length()));
    }

    /** This process was not scheduled: nothing follows from answers that it did not receive. */
    private void onStall(long durationUs) {
        failureDetector.abandonProbe();
        suspicions.onStall(durationUs);
        health.degrade(STALL_PENALTY);
        events.report(
                MemberEvent.Kind.STARVED,
                localMember.current(),
                "a timer was " + durationUs / MICROS_PER_MILLI + " ms late");
    }

    private void onPeriod(long nowUs) {
        failureDetector.finishProbe().ifPresent(target -> updates.suspect(nowUs, target));
        table.removeExpired(nowUs, settings.tombstoneTtlUs());
        if (!localMember.isLeaving()) {
            failureDetector.startProbe(nowUs);
            if (periodNumber % RECONNECT_PERIODS == 0) {
                reconnector.probeOne();
            }
            nameConflicts.onPeriod(nowUs, periodNumber);
        }
        if (!queue.isEmpty()) {
            gossipTo(settings.gossipFanout());
        }
        periodNumber++;
        timers.schedule(nowUs, ProtocolTimers.PERIOD, health.scaleUs(settings.protocolPeriodUs()));
    }

    private void gossipTo(int fanout) {
        for (MemberUpdate member : peers.randomMembers(fanout)) {
            sender.send(member.address(), GossipDatagram.Kind.GOSSIP, 0, member.name());
        }
    }

    /** The latest update on each member, those that are gone for a while too. */
    public Collection<MemberUpdate> members() {
        return table.all();
    }

    /** When the latest update on a member that is known was stored. */
    public long sinceUs(String member) {
        return table.sinceUs(member);
    }

    /** How many members are present, this process and suspects among them. */
    public int presentCount() {
        return table.presentCount();
    }

    /** The update of this process on itself. */
    public MemberUpdate self() {
        return localMember.current();
    }

    /** Local health of this process, from 0 (healthy) to 8. */
    public int healthScore() {
        return health.score();
    }

    /** How many datagrams and updates were dropped, by reason. */
    public Map<String, Long> droppedDatagrams() {
        return dropped.counts();
    }

    /** Digest of the member table; equal for processes that agree. */
    public long digest() {
        return table.digest();
    }
}
