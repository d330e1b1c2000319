package myrtleladder.gossip;

import java.util.ArrayList;
import java.util.List;

/** Composes datagrams and fills them up with updates of the dissemination queue. */
final class DatagramSender {
    /** Bytes of the JSON field around the updates, observed: {@code ,"news":[]} and a margin. */
    private static final int UPDATES_FIELD_BYTES = 12;

    private final GossipSettings settings;
    private final LocalMember localMember;
    private final MemberTable table;
    private final DisseminationQueue queue;
    private final Membership.Output output;

    DatagramSender(
            GossipSettings settings,
            LocalMember localMember,
            MemberTable table,
            DisseminationQueue queue,
            Membership.Output output) {
        this.settings = settings;
        this.localMember = localMember;
        this.table = table;
        this.queue = queue;
        this.output = output;
    }

    /**
     * Sends a datagram that has no fields of its kind. If the receiver is not alive in the table,
     * the update that says so goes first, so that the receiver can refute it.
     *
     * @param sequenceNumber of a probe, 0 if it belongs to none
     * @param receiver name of the member at the address, null if it is not known
     */
    void send(String address, GossipDatagram.Kind kind, long sequenceNumber, String receiver) {
        MemberUpdate known = receiver == null ? null : table.get(receiver);
        boolean isRefutable = known != null && known.state() != MemberState.ALIVE;
        send(address, compose(kind, sequenceNumber), isRefutable ? known : null);
    }

    /** Sends a datagram with updates; {@code first}, if not null, goes before all others. */
    void send(String address, GossipDatagram datagram, MemberUpdate first) {
        List<MemberUpdate> updates = new ArrayList<>();
        int bytesLeft = bytesForUpdates(datagram);
        if (first != null && GossipCodec.encodedSize(first) <= bytesLeft) {
            updates.add(first);
            bytesLeft -= GossipCodec.encodedSize(first);
        }
        updates.addAll(queue.take(bytesLeft, settings.retransmits(table.presentCount())));
        sendUnchanged(address, datagram.withUpdates(updates));
    }

    /** Sends a datagram without adding updates. */
    void sendUnchanged(String address, GossipDatagram datagram) {
        output.send(address, GossipCodec.encode(datagram));
    }

    /** Room for encoded updates in a datagram that has none yet. */
    int bytesForUpdates(GossipDatagram datagram) {
        return settings.maxDatagramBytes()
                - GossipCodec.encode(datagram).length
                - UPDATES_FIELD_BYTES;
    }

    GossipDatagram compose(GossipDatagram.Kind kind, long sequenceNumber) {
        return compose(kind, sequenceNumber, null, List.of(), 0);
    }

    GossipDatagram composePingRequest(long sequenceNumber, String probeTarget) {
        return compose(GossipDatagram.Kind.PING_REQUEST, sequenceNumber, probeTarget, List.of(), 0);
    }

    GossipDatagram composeDigests() {
        return compose(GossipDatagram.Kind.DIGESTS, 0, null, table.bucketDigests(), 0);
    }

    GossipDatagram composeUpdates(long requestedBuckets) {
        return compose(GossipDatagram.Kind.UPDATES, 0, null, List.of(), requestedBuckets);
    }

    private GossipDatagram compose(
            GossipDatagram.Kind kind,
            long sequenceNumber,
            String probeTarget,
            List<Long> bucketDigests,
            long requestedBuckets) {
        return new GossipDatagram(
                settings.fleet(),
                kind,
                localMember.current(),
                sequenceNumber,
                table.digest(),
                probeTarget,
                bucketDigests,
                requestedBuckets,
                List.of());
    }
}
