package myrtleladder.controlplane.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.ArrayList;
import java.util.List;

/** What the scenarios of faults share: the start, the bounds and the checks at the end. */
final class Scenarios {
    static final long CATCH_UP_MS = SimulatedCluster.CATCH_UP_MS;

    /** The time after which a tolerated fault must not be noticed any more. */
    static final long FAILOVER_MS = 3_000;

    /** While a tolerated fault lasts a change is acknowledged within this time. */
    static final long AVAILABILITY_TIMEOUT_MS = 4_000;

    private static final long RECOVERY_TIMEOUT_MS = 12_000;

    private Scenarios() {}

    /** A cluster that serves. */
    static SimulatedCluster started(long seed, int size) {
        SimulatedCluster cluster = SimulatedCluster.ofSize(size).seed(seed).build();
        cluster.start();
        cluster.clock.run(2_000);
        assertNotNull(cluster.leader());
        return cluster;
    }

    /**
     * Checks that the cluster serves, that all nodes are members, and that nothing was violated.
     */
    static void expectRecovered(SimulatedCluster cluster, String situation) {
        cluster.expectAcknowledgement(RECOVERY_TIMEOUT_MS, situation);
        cluster.expectAllAreMembers(situation);
        assertEquals(List.of(), cluster.history.violations(), situation);
    }

    /** The nodes at this time; later changes do not show. */
    static List<SimulatedNode> nodes(SimulatedCluster cluster) {
        return new ArrayList<>(cluster.nodes());
    }
}
