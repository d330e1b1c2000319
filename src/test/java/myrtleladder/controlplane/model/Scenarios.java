package myrtleladder.controlplane.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.ArrayList;
import java.util.List;

/** The common start, time limits and final checks of the fault scenarios. */
final class Scenarios {
    static final long CATCH_UP_MS = SimulatedCluster.CATCH_UP_MS;

    /** The time after which a tolerated fault must no longer affect clients. */
    static final long FAILOVER_MS = 3_000;

    /** During a tolerated fault a change must be acknowledged within this time. */
    static final long AVAILABILITY_TIMEOUT_MS = 4_000;

    /** The time after which a change must be acknowledged once all machines are back. */
    static final long RECOVERY_TIMEOUT_MS = 12_000;

    private Scenarios() {}

    /** Starts a cluster and waits until it has a leader. */
    static SimulatedCluster startCluster(long seed, int size) {
        SimulatedCluster cluster = SimulatedCluster.ofSize(size).seed(seed).build();
        cluster.start();
        cluster.clock.run(2_000);
        assertNotNull(cluster.leader());
        return cluster;
    }

    /**
     * Checks that changes are acknowledged, that all nodes are members, and that no invariant was
     * violated.
     */
    static void expectRecovered(SimulatedCluster cluster, String situation) {
        cluster.expectAcknowledgement(RECOVERY_TIMEOUT_MS, situation);
        cluster.expectAllAreMembers(situation);
        assertEquals(List.of(), cluster.history.violations(), situation);
    }

    /** A copy of the list of nodes, which later changes do not affect. */
    static List<SimulatedNode> copyOfNodes(SimulatedCluster cluster) {
        return new ArrayList<>(cluster.nodes());
    }
}
