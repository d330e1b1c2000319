package myrtleladder.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import myrtleladder.protocol.HeartbeatRequest;
import org.junit.jupiter.api.Test;

/** A deposed primary stops sending heartbeats in its epoch as soon as one of them is rejected. */
class DeposedPrimaryTest {
    private static final long STARTUP_MS = 3_000;
    private static final long ELECTION_MS = 3_000;

    /** One round trip plus one poll interval. */
    private static final long REFUSAL_MS = 100;

    private final VirtualCluster cluster =
            VirtualCluster.builder().nodes(5).toleratedFailures(2).start();

    /** Returns a live list of the times at which a node sends heartbeats in an epoch. */
    private List<Long> heartbeats(VirtualNode of, long epoch) {
        List<Long> sentAtMs = new ArrayList<>();
        cluster.network.onCall(
                (caller, request) -> {
                    if (caller == of
                            && request instanceof HeartbeatRequest heartbeat
                            && heartbeat.view.epoch == epoch) {
                        sentAtMs.add(cluster.clock.now());
                    }
                });
        return sentAtMs;
    }

    private void assertStopsAtOnce(VirtualNode former, List<Long> sentAtMs, long backAtMs) {
        cluster.clock.run(5_000);
        assertNotEquals(former, cluster.primary());
        int others = cluster.nodes.size() - 1;
        assertTrue(sentAtMs.size() <= 2 * others, sentAtMs.size() + " heartbeats after its return");
        for (long atMs : sentAtMs) {
            assertTrue(atMs - backAtMs <= REFUSAL_MS, (atMs - backAtMs) + " ms after its return");
        }
    }

    @Test
    void primaryThatWasFrozenCallsAtMostOnceMoreUnderItsEpoch() {
        cluster.clock.run(STARTUP_MS);
        VirtualNode former = cluster.primary();
        former.pause(ELECTION_MS);
        cluster.clock.run(ELECTION_MS);
        List<Long> sentAtMs = heartbeats(former, former.replica.view().epoch);
        assertStopsAtOnce(former, sentAtMs, cluster.clock.now());
    }

    @Test
    void primaryThatWasCutOffCallsAtMostOnceMoreUnderItsEpoch() {
        cluster.clock.run(STARTUP_MS);
        VirtualNode former = cluster.primary();
        long epoch = former.replica.view().epoch;
        cluster.isolate(former.address);
        cluster.clock.run(ELECTION_MS);
        cluster.network.heal();
        List<Long> sentAtMs = heartbeats(former, epoch);
        assertStopsAtOnce(former, sentAtMs, cluster.clock.now() + 200);
    }

    @Test
    void primaryThatWasRestartedNeverCallsUnderItsFormerEpoch() {
        cluster.clock.run(STARTUP_MS);
        VirtualNode former = cluster.primary();
        long epoch = former.replica.view().epoch;
        former.kill();
        cluster.clock.run(ELECTION_MS);
        former.start(false);
        List<Long> sentAtMs = heartbeats(former, epoch);
        cluster.clock.run(5_000);
        assertEquals(List.of(), sentAtMs);
    }
}
