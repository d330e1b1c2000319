package myrtleladder.controlplane.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Concurrent operators lose acknowledgements and repeat changes that were committed. */
class RepeatedChangeTest {
    @Test
    void racingOperatorsThatLoseAcknowledgementsSeeConsistentOutcomes() {
        for (long seed = 0; seed < 20; seed++) {
            SimulatedCluster cluster = Scenarios.startCluster(seed, 3 + (int) (seed % 2));
            cluster.operators.forEach(o -> o.setResponseLossRatio(0.7));
            for (int round = 0; round < 4; round++) {
                SimulatedNode leader = cluster.leader();
                cluster.awaitCommitment(2_000);
                if (leader != null) {
                    leader.kill();
                }
                cluster.clock.run(1_500);
                cluster.heal();
                cluster.clock.run(1_500);
            }
            cluster.operators.forEach(o -> o.setResponseLossRatio(0));
            Scenarios.expectRecovered(cluster, "after races of seed " + seed);
        }
    }

    /** Sends a change to a node; returns the status of its response, 0 without a response. */
    private static int statusOf(
            SimulatedCluster cluster, SimulatedNode node, OperatorChange change) {
        int[] status = {-1};
        new ExternalClient(cluster, "third")
                .call(
                        node,
                        "PUT",
                        "/config",
                        change.base(),
                        change.body(),
                        response -> status[0] = response == null ? 0 : response.status());
        while (status[0] < 0) {
            cluster.clock.run(10);
        }
        return status[0];
    }

    private static OperatorChange acknowledgedChange(SimulatedCluster cluster) {
        for (int i = 0; i < 200; i++) {
            long base = cluster.history.newestAcknowledgedGeneration();
            OperatorChange change = new OperatorChange("third-" + i, base, base + 1);
            cluster.history.recordSent(change);
            if (statusOf(cluster, cluster.leader(), change) == 200) {
                cluster.history.recordAcknowledged(change, cluster.clock.now());
                return change;
            }
        }
        throw new AssertionError("no change of a third operator was acknowledged");
    }

    private static void expectRecognizedEverywhere(
            SimulatedCluster cluster, OperatorChange change, String when) {
        for (SimulatedNode node : Scenarios.copyOfNodes(cluster)) {
            assertEquals(200, statusOf(cluster, node, change), node.address + " " + when);
        }
    }

    @Test
    void committedChangeIsRecognizedAtAnyNodeAfterFailoverLaterChangesAndRestart() {
        for (int size : new int[] {3, 8}) {
            SimulatedCluster cluster = Scenarios.startCluster(size, size);
            OperatorChange change = acknowledgedChange(cluster);
            expectRecognizedEverywhere(cluster, change, "at once");
            cluster.leader().kill();
            cluster.clock.run(Scenarios.FAILOVER_MS);
            cluster.heal();
            cluster.clock.run(Scenarios.CATCH_UP_MS);
            expectRecognizedEverywhere(cluster, change, "after a new view");
            for (int i = 0; i < 100; i++) {
                cluster.awaitCommitment(2_000);
            }
            expectRecognizedEverywhere(cluster, change, "after later changes");
            Scenarios.copyOfNodes(cluster).forEach(SimulatedNode::powerOff);
            cluster.clock.run(500);
            cluster.heal();
            cluster.clock.run(Scenarios.CATCH_UP_MS);
            expectRecognizedEverywhere(cluster, change, "after a restart of all");
            OperatorChange other =
                    new OperatorChange(change.name(), change.base() + 1, change.generation());
            int status = statusOf(cluster, cluster.leader(), other);
            assertTrue(status == 412 || status == 400, "another If-Match: " + status);
            Scenarios.expectRecovered(cluster, "after repeated changes with nodes: " + size);
        }
    }
}
