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

    /** Upper bound of one round trip plus one poll interval. */
    private static final long REJECTION_MS = 100;

    private final VirtualCluster cluster =
            VirtualCluster.builder().nodes(5).toleratedFailures(2).start();

    /**
     * Starts to record the heartbeats that a node sends in an epoch. Returns the list of their send
     * times, to which later heartbeats are added.
     */
    private List<Long> recordHeartbeats(VirtualNode sender, long epoch) {
        List<Long> sentAtMs = new ArrayList<>();
        cluster.network.onCall(
                (caller, request) -> {
                    if (caller == sender
                            && request instanceof HeartbeatRequest heartbeat
                            && heartbeat.view.epoch == epoch) {
                        sentAtMs.add(cluster.clock.now());
                    }
                });
        return sentAtMs;
    }

    private void assertStopsAfterRejection(
            VirtualNode formerPrimary, List<Long> sentAtMs, long returnedAtMs) {
        cluster.clock.run(5_000);
        assertNotEquals(formerPrimary, cluster.primary());
        int others = cluster.nodes.size() - 1;
        assertTrue(sentAtMs.size() <= 2 * others, sentAtMs.size() + " heartbeats after its return");
        for (long atMs : sentAtMs) {
            assertTrue(
                    atMs - returnedAtMs <= REJECTION_MS,
                    (atMs - returnedAtMs) + " ms after its return");
        }
    }

    @Test
    void pausedPrimarySendsAtMostTwoRoundsOfHeartbeatsInItsFormerEpoch() {
        cluster.clock.run(STARTUP_MS);
        VirtualNode formerPrimary = cluster.primary();
        formerPrimary.pause(ELECTION_MS);
        cluster.clock.run(ELECTION_MS);
        List<Long> sentAtMs = recordHeartbeats(formerPrimary, formerPrimary.replica.view().epoch);
        assertStopsAfterRejection(formerPrimary, sentAtMs, cluster.clock.now());
    }

    @Test
    void isolatedPrimarySendsAtMostTwoRoundsOfHeartbeatsInItsFormerEpoch() {
        cluster.clock.run(STARTUP_MS);
        VirtualNode formerPrimary = cluster.primary();
        long epoch = formerPrimary.replica.view().epoch;
        cluster.isolate(formerPrimary.address);
        cluster.clock.run(ELECTION_MS);
        cluster.network.heal();
        List<Long> sentAtMs = recordHeartbeats(formerPrimary, epoch);
        assertStopsAfterRejection(formerPrimary, sentAtMs, cluster.clock.now() + 200);
    }

    @Test
    void restartedPrimarySendsNoHeartbeatsInItsFormerEpoch() {
        cluster.clock.run(STARTUP_MS);
        VirtualNode formerPrimary = cluster.primary();
        long epoch = formerPrimary.replica.view().epoch;
        formerPrimary.kill();
        cluster.clock.run(ELECTION_MS);
        formerPrimary.start(false);
        List<Long> sentAtMs = recordHeartbeats(formerPrimary, epoch);
        cluster.clock.run(5_000);
        assertEquals(List.of(), sentAtMs);
    }
}
