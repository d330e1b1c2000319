package myrtleladder.gossip;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Probes members for others (SWIM's ping-req) and passes the answers on; without an answer it sends
 * a NACK, which tells the other one that at least this process is reached (Lifeguard).
 */
final class ProbeRelay {
    /** Bounds memory. */
    private static final int MAX_PENDING = 256;

    private final GossipSettings settings;
    private final MemberTable table;
    private final Prober prober;
    private final DatagramSender sender;
    private final ProtocolTimers timers;

    /** By the sequence number of the probe that this process sent. */
    private final Map<Long, Request> pending = new LinkedHashMap<>();

    /** Who asked, and the sequence number that the answer has to have. */
    private record Request(String address, long sequenceNumber) {}

    ProbeRelay(
            GossipSettings settings,
            MemberTable table,
            Prober prober,
            DatagramSender sender,
            ProtocolTimers timers) {
        this.settings = settings;
        this.table = table;
        this.prober = prober;
        this.sender = sender;
        this.timers = timers;
    }

    void onPingRequest(long nowUs, String from, GossipDatagram request) {
        MemberUpdate target =
                request.probeTarget() == null ? null : table.get(request.probeTarget());
        if (target == null || pending.size() >= MAX_PENDING) {
            sender.send(
                    from,
                    GossipDatagram.Kind.NACK,
                    request.sequenceNumber(),
                    request.sender().name());
            return;
        }
        long sequenceNumber = prober.ping(target);
        pending.put(sequenceNumber, new Request(from, request.sequenceNumber()));
        timers.schedule(
                nowUs, ProtocolTimers.RELAY_TIMEOUT + sequenceNumber, settings.ackTimeoutUs());
    }

    void onAck(long sequenceNumber) {
        answer(GossipDatagram.Kind.ACK, sequenceNumber);
    }

    void onTimeout(long sequenceNumber) {
        answer(GossipDatagram.Kind.NACK, sequenceNumber);
    }

    private void answer(GossipDatagram.Kind kind, long sequenceNumber) {
        Request request = pending.remove(sequenceNumber);
        if (request != null) {
            sender.send(request.address(), kind, request.sequenceNumber(), null);
        }
    }
}
