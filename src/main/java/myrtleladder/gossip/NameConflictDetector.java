package myrtleladder.gossip;

/**
 * Finds out whether another live process is configured with the name of this one.
 *
 * <p>An update on this process's name by another start is first taken for what is left of an
 * earlier start of its own: the incarnation is raised above it. At the same time the address in it
 * is probed, and only an answer proves a conflict. While there is one, both processes flag their
 * updates and stop raising their incarnations against each other.
 */
final class NameConflictDetector {
    /** A rival that has not answered for so many protocol periods is gone. */
    private static final int RIVAL_TIMEOUT_PERIODS = 10;

    private static final long NEVER_US = Long.MIN_VALUE;

    private final GossipSettings settings;
    private final LocalMember localMember;
    private final SequenceNumbers sequenceNumbers;
    private final DatagramSender sender;
    private final MemberEvents events;

    /** The other process, null if none is known; it may turn out to have ended. */
    private Rival rival;

    /**
     * Another process with the same name.
     *
     * @param sequenceNumber of the last probe that it was sent
     * @param answeredUs when it last answered one, {@link #NEVER_US} if never
     */
    private record Rival(MemberUpdate update, long sequenceNumber, long answeredUs) {}

    NameConflictDetector(
            GossipSettings settings,
            LocalMember localMember,
            SequenceNumbers sequenceNumbers,
            DatagramSender sender,
            MemberEvents events) {
        this.settings = settings;
        this.localMember = localMember;
        this.sequenceNumbers = sequenceNumbers;
        this.sender = sender;
        this.events = events;
    }

    /** Whether a datagram was sent by another process with this process's name. */
    boolean isFromRival(GossipDatagram datagram) {
        MemberUpdate local = localMember.current();
        return datagram.sender().name().equals(local.name())
                && datagram.sender().startId() != local.startId();
    }

    /** An update on this process's name, by another start, has come. */
    void onUpdate(long nowUs, MemberUpdate update) {
        MemberUpdate local = localMember.current();
        boolean isConflictKnown = local.hasNameConflict() && update.state().isPresent();
        if (!update.supersedes(local) || isConflictKnown) {
            return;
        }
        if (update.state().isPresent()) {
            probeIfUnknown(update);
        }
        localMember.raiseIncarnationAbove(nowUs, update.incarnation(), local.hasNameConflict());
    }

    /** Another process with this process's name has sent a datagram. */
    void onDatagram(long nowUs, String from, GossipDatagram datagram) {
        if (datagram.kind() == GossipDatagram.Kind.PING) {
            sender.send(from, GossipDatagram.Kind.ACK, datagram.sequenceNumber(), null);
            // The other process may know of the conflict, upon which it spreads no newer update.
            probeIfUnknown(datagram.sender());
        } else if (datagram.kind() == GossipDatagram.Kind.ACK && isAnswerOfRival(datagram)) {
            onRivalAnswered(nowUs, datagram.sender());
        }
    }

    private void probeIfUnknown(MemberUpdate update) {
        if (rival == null) {
            rival = new Rival(update, sequenceNumbers.next(), NEVER_US);
            probeRival();
        }
    }

    private boolean isAnswerOfRival(GossipDatagram datagram) {
        return rival != null
                && datagram.sequenceNumber() == rival.sequenceNumber()
                && datagram.sender().startId() == rival.update().startId();
    }

    private void onRivalAnswered(long nowUs, MemberUpdate update) {
        rival = new Rival(update, rival.sequenceNumber(), nowUs);
        MemberUpdate local = localMember.current();
        if (!local.hasNameConflict()) {
            events.report(MemberEvent.Kind.RIVAL, update, "it answers under our name");
            long highest = Math.max(local.incarnation(), update.incarnation());
            localMember.raiseIncarnationAbove(nowUs, highest, true);
        }
    }

    /** Probes the rival again, or forgets it if it does not answer; once in each period. */
    void onPeriod(long nowUs, long periodNumber) {
        if (rival == null) {
            return;
        }
        MemberUpdate local = localMember.current();
        long timeoutUs = RIVAL_TIMEOUT_PERIODS * settings.protocolPeriodUs();
        if (!local.hasNameConflict() && periodNumber % RIVAL_TIMEOUT_PERIODS == 0) {
            rival = null; // an earlier start of this process, of which the update came late
        } else if (local.hasNameConflict() && nowUs - rival.answeredUs() > timeoutUs) {
            onRivalGone(nowUs);
        } else {
            rival = new Rival(rival.update(), sequenceNumbers.next(), rival.answeredUs());
            probeRival();
        }
    }

    private void onRivalGone(long nowUs) {
        MemberUpdate gone = rival.update();
        rival = null;
        events.report(MemberEvent.Kind.RIVAL_GONE, gone, "it does not answer any more");
        long highest = Math.max(localMember.current().incarnation(), gone.incarnation());
        localMember.raiseIncarnationAbove(nowUs, highest, false);
    }

    private void probeRival() {
        sender.send(
                rival.update().address(), GossipDatagram.Kind.PING, rival.sequenceNumber(), null);
    }
}
