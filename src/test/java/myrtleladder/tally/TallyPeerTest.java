package myrtleladder.tally;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import myrtleladder.protocol.TallyPosition;
import myrtleladder.protocol.TallyStateSummary;
import org.junit.jupiter.api.Test;

/** How a node tracks the additions of a peer across restarts of the peer's process. */
class TallyPeerTest {
    private final TallyPeer peer = new TallyPeer("n1:1", 0);

    private void update(String process, long known, long durable) {
        peer.update(
                TallyStateSummary.of(
                        "n1:1",
                        "z1",
                        process,
                        List.of(TallyPosition.of("r", known)),
                        List.of(TallyPosition.of("r", durable)),
                        true));
    }

    @Test
    void stateReportedByAFormerProcessIsDiscarded() {
        update("first", 5, 4);
        assertTrue(peer.durable().includes("r", 4));
        assertFalse(peer.durable().includes("r", 5));
        update("second", 1, 1);
        assertFalse(peer.durable().includes("r", 2));
        update("first", 5, 5);
        assertFalse(peer.known().includes("r", 2));
    }
}
