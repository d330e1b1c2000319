package myrtleladder.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import myrtleladder.replication.VirtualCluster.Node;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Drawn schedules of kills, wipes, freezes, cuts and disk troubles. What was acknowledged is never
 * lost, one node leads each epoch, and a primary leads again once the troubles end.
 */
class ReplicaExplorationTest {
    private static final int STEPS = 25;

    @Test
    void drawnSchedulesLoseNothing() {
        explore(0, 1_000);
    }

    @Test
    @Tag("long")
    void manyDrawnSchedulesLoseNothing() {
        explore(1_000, 101_000);
    }

    private static void explore(long from, long to) {
        List<String> found = new ArrayList<>();
        for (long seed = from; seed < to && found.size() < 5; seed++) {
            List<String> faults = play(seed);
            if (!faults.isEmpty()) {
                found.add(seed + ": " + faults);
            }
        }
        assertEquals(List.of(), found);
    }

    static List<String> play(long seed) {
        int tolerated = seed % 4 == 3 ? 2 : 1;
        int size = tolerated == 2 ? 6 : 3 + (int) (seed % 2);
        VirtualCluster cluster = new VirtualCluster(seed, size, 3, tolerated);
        cluster.clock.run(4_000);
        for (int step = 0; step < STEPS; step++) {
            trouble(cluster, tolerated);
            for (int i = 0; i < 4; i++) {
                cluster.order();
                cluster.clock.run(cluster.random.nextInt(250));
            }
        }
        return cluster.settle();
    }

    /** One trouble, or the end of some; wiped nodes come back whole before another is wiped. */
    private static void trouble(VirtualCluster cluster, int tolerated) {
        List<Node> all = new ArrayList<>(cluster.nodes.values());
        Node node = all.get(cluster.random.nextInt(all.size()));
        switch (cluster.random.nextInt(10)) {
            case 0 -> node.kill();
            case 1 -> all.forEach(Node::kill);
            case 2 -> node.frozenUntil = cluster.clock.now() + cluster.random.nextInt(4_000);
            case 3 -> cluster.cut(node.address);
            case 4 -> wipe(cluster, node, tolerated);
            case 5 -> node.syncMs = cluster.random.nextBoolean() ? 150 : 3_000;
            case 6 -> node.diskFull = true;
            default -> mend(cluster, all);
        }
    }

    private static void wipe(VirtualCluster cluster, Node node, int tolerated) {
        mend(cluster, new ArrayList<>(cluster.nodes.values()));
        cluster.clock.run(8_000);
        node.wipe();
        if (tolerated == 2 && cluster.random.nextBoolean()) {
            List<Node> all = new ArrayList<>(cluster.nodes.values());
            all.get(cluster.random.nextInt(all.size())).wipe();
        }
        cluster.clock.run(cluster.random.nextInt(1_000));
        mend(cluster, new ArrayList<>(cluster.nodes.values()));
        cluster.clock.run(8_000);
    }

    private static void mend(VirtualCluster cluster, List<Node> nodes) {
        cluster.cuts.clear();
        for (Node node : nodes) {
            node.diskFull = false;
            node.syncMs = 5;
            node.frozenUntil = 0;
            if (!node.up) {
                node.start(false);
            }
        }
    }
}
