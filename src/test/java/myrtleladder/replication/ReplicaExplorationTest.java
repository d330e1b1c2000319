package myrtleladder.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Random schedules of kills, lost disks, pauses, partitions and disk faults. No acknowledged change
 * may be lost, each epoch may have only one primary, and there has to be a primary again after the
 * faults end.
 */
class ReplicaExplorationTest {
    private static final int STEPS = 25;
    private static final int CHANGES_PER_STEP = 4;
    private static final long STARTUP_MS = 4_000;
    private static final long CATCH_UP_MS = 8_000;
    private static final long SLOW_SAVE_MS = 150;
    private static final long STALLED_SAVE_MS = 3_000;
    private static final int MAX_REPORTED_SEEDS = 5;

    @Test
    void randomFaultsLoseNoAcknowledgedChange() {
        explore(0, 1_000);
    }

    @Test
    @Tag("long")
    void manyRandomFaultsLoseNoAcknowledgedChange() {
        explore(1_000, 101_000);
    }

    private static void explore(long fromSeed, long toSeed) {
        List<String> failures = new ArrayList<>();
        for (long seed = fromSeed; seed < toSeed && failures.size() < MAX_REPORTED_SEEDS; seed++) {
            List<String> violations = run(seed);
            if (!violations.isEmpty()) {
                failures.add(seed + ": " + violations);
            }
        }
        assertEquals(List.of(), failures);
    }

    private static List<String> run(long seed) {
        int toleratedFailures = seed % 4 == 3 ? 2 : 1;
        int nodes = toleratedFailures == 2 ? 6 : 3 + (int) (seed % 2);
        VirtualCluster cluster =
                VirtualCluster.builder()
                        .randomSeed(seed)
                        .nodes(nodes)
                        .toleratedFailures(toleratedFailures)
                        .start();
        cluster.clock.run(STARTUP_MS);
        for (int step = 0; step < STEPS; step++) {
            injectFault(cluster);
            for (int i = 0; i < CHANGES_PER_STEP; i++) {
                cluster.submitChange();
                cluster.clock.run(cluster.random.nextInt(250));
            }
        }
        return cluster.violationsAfterRecovery();
    }

    /** Injects one fault, or ends all of them. */
    private static void injectFault(VirtualCluster cluster) {
        VirtualNode node = randomNode(cluster);
        switch (cluster.random.nextInt(10)) {
            case 0 -> node.kill();
            case 1 -> cluster.nodes.values().forEach(VirtualNode::kill);
            case 2 -> node.pause(cluster.random.nextInt(4_000));
            case 3 -> cluster.isolate(node.address);
            case 4 -> loseDisk(cluster, node);
            case 5 ->
                    node.disk.slowDown(
                            cluster.random.nextBoolean() ? SLOW_SAVE_MS : STALLED_SAVE_MS);
            case 6 -> node.disk.fill();
            default -> cluster.repair();
        }
    }

    private static VirtualNode randomNode(VirtualCluster cluster) {
        List<VirtualNode> nodes = new ArrayList<>(cluster.nodes.values());
        return nodes.get(cluster.random.nextInt(nodes.size()));
    }

    /** Loses at most as many disks as are tolerated. All nodes recover before and after that. */
    private static void loseDisk(VirtualCluster cluster, VirtualNode node) {
        cluster.repair();
        cluster.clock.run(CATCH_UP_MS);
        node.killAndWipe();
        if (cluster.toleratedFailures() == 2 && cluster.random.nextBoolean()) {
            randomNode(cluster).killAndWipe();
        }
        cluster.clock.run(cluster.random.nextInt(1_000));
        cluster.repair();
        cluster.clock.run(CATCH_UP_MS);
    }
}
