package myrtleladder.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Processes under a CPU quota, which run for 10 ms and are then throttled for the rest of each 100
 * ms period. Throttling alone must not cause an election.
 */
class CpuQuotaTest {
    private static final long PERIOD_MS = 100;
    private static final long STARTUP_MS = 3_000;
    private static final int PERIODS = 300;

    /** The processes are throttled at the same time, or with a phase shift. */
    @ParameterizedTest
    @ValueSource(longs = {0, 30, 50})
    void throttlingForNineTenthsOfEachPeriodCausesNoElection(long phaseMs) {
        VirtualCluster cluster = VirtualCluster.builder().nodes(5).toleratedFailures(2).start();
        cluster.clock.run(STARTUP_MS);
        VirtualNode primary = cluster.primary();
        assertNotNull(primary);
        long epoch = primary.replica.epoch();
        for (VirtualNode node : cluster.nodes.values()) {
            throttleInEachPeriod(cluster, node);
            cluster.clock.run(phaseMs);
        }
        for (int i = 0; i < PERIODS; i++) {
            cluster.clock.run(PERIOD_MS);
            if (i % 10 == 0) {
                cluster.submitChange();
            }
        }
        assertEquals(epoch, primary.replica.epoch(), "throttling caused a view change");
        assertTrue(
                cluster.acknowledged.size() > PERIODS / 15,
                cluster.acknowledged.size() + " changes were acknowledged");
    }

    private void throttleInEachPeriod(VirtualCluster cluster, VirtualNode node) {
        node.pause(PERIOD_MS * 9 / 10);
        cluster.clock.schedule(PERIOD_MS, () -> throttleInEachPeriod(cluster, node));
    }
}
