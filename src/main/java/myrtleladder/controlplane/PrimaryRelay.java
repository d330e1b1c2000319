package myrtleladder.controlplane;

import java.util.function.Consumer;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.replication.PeerTransport;
import myrtleladder.replication.Replica;

/**
 * Relays requests to the primary for balancers that cannot reach it, provided that this node can.
 * If the link between two zones fails, balancers can still reach the primary through a third zone.
 * Confined to the event loop.
 */
final class PrimaryRelay {
    private final PeerTransport peers;
    private Replica replica;

    PrimaryRelay(PeerTransport peers) {
        this.peers = peers;
    }

    /** Sets the replica that knows the primary. Must be called before any other method. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** Returns whether another node is primary and has recently been heard from. */
    boolean isAvailable() {
        Member primary = replica.primary();
        return primary != null && !primary.equals(replica.self());
    }

    /**
     * Relays a request. May only be called if {@link #isAvailable()}.
     *
     * @param onFailure runs instead of the responder if the primary does not respond in time
     */
    void relay(Message request, long timeoutMs, Consumer<Message> responder, Runnable onFailure) {
        peers.call(
                replica.primary().address,
                request,
                timeoutMs,
                response -> {
                    if (response == null) {
                        onFailure.run();
                    } else {
                        responder.accept(response);
                    }
                });
    }
}
