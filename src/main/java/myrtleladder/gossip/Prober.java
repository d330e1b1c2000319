package myrtleladder.gossip;

/** Sends probes, direct ones and by way of other members (SWIM, section 3.1). */
final class Prober {
    private final GossipSettings settings;
    private final SequenceNumbers sequenceNumbers;
    private final PeerSelector peers;
    private final DatagramSender sender;

    Prober(
            GossipSettings settings,
            SequenceNumbers sequenceNumbers,
            PeerSelector peers,
            DatagramSender sender) {
        this.settings = settings;
        this.sequenceNumbers = sequenceNumbers;
        this.peers = peers;
        this.sender = sender;
    }

    /** Probes a member; returns the sequence number that its answer will have. */
    long ping(MemberUpdate target) {
        long sequenceNumber = sequenceNumbers.next();
        pingAgain(target, sequenceNumber);
        return sequenceNumber;
    }

    /** Repeats a probe under its sequence number. */
    void pingAgain(MemberUpdate target, long sequenceNumber) {
        sender.send(target.address(), GossipDatagram.Kind.PING, sequenceNumber, target.name());
    }

    /** Asks others to probe a member, since the fault may lie on the path to it. */
    int requestIndirectProbes(MemberUpdate target, long sequenceNumber) {
        int requested = 0;
        for (MemberUpdate helper : peers.randomMembers(settings.indirectProbes())) {
            if (!helper.name().equals(target.name())) {
                requested++;
                sender.send(
                        helper.address(),
                        sender.composePingRequest(sequenceNumber, target.name()),
                        null);
            }
        }
        return requested;
    }
}
