package myrtleladder.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Disks that fail every write for a while and then recover. */
class FullDiskTest {
    private static final long STARTUP_MS = 3_000;
    private static final long RECOVERY_MS = 8_000;

    private final VirtualCluster cluster = VirtualCluster.builder().start();

    private void submitFor(long durationMs) {
        for (long elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 200) {
            cluster.submitChange();
            cluster.clock.run(200);
        }
    }

    @Test
    void nothingIsAcknowledgedWhileAllDisksAreFullAndServiceRecoversAfterwards() {
        cluster.clock.run(STARTUP_MS);
        submitFor(1_000);
        List<String> before = List.copyOf(cluster.acknowledged);
        cluster.nodes.values().forEach(node -> node.disk.fill());
        submitFor(4_000);
        assertEquals(before, cluster.acknowledged, "a change was acknowledged that no disk holds");
        cluster.nodes.values().forEach(node -> node.disk.repair());
        submitFor(RECOVERY_MS);
        assertTrue(cluster.acknowledged.size() > before.size());
        assertEquals(List.of(), cluster.violationsAfterRecovery());
    }

    @Test
    void otherNodesCommitChangesWhileOneDiskIsFull() {
        cluster.clock.run(STARTUP_MS);
        VirtualNode primary = cluster.primary();
        assertNotNull(primary);
        primary.disk.fill();
        submitFor(RECOVERY_MS);
        assertTrue(cluster.acknowledged.size() > 5, cluster.acknowledged.toString());
        assertEquals(List.of(), cluster.violationsAfterRecovery());
    }
}
