package myrtleladder.controlplane;

import java.util.function.Consumer;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.replication.PeerTransport;
import myrtleladder.replication.Replica;

/**
 * Passes requests of balancers that don't reach the primary on to it, where this node hears it: a
 * broken link between two zones cuts nobody off whom a third zone connects. Confined to the event
 * loop.
 */
final class PrimaryRelay {
    private final PeerTransport peers;
    private Replica replica;

    PrimaryRelay(PeerTransport peers) {
        this.peers = peers;
    }

    /** Sets the replica that knows who is primary; has to precede all else. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** Whether another node is primary and was heard of late. */
    boolean isAvailable() {
        Member primary = replica.primary();
        return primary != null && !primary.equals(replica.self());
    }

    /**
     * Passes a request on; only if {@link #isAvailable()}.
     *
     * @param onFailure runs instead of the responder if the primary does not answer in time
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
