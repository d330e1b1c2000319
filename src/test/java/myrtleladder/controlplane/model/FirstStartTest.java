package myrtleladder.controlplane.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * The first start of a system, in which as many processes as may be lost end at any point of the
 * protocol and come back. Those that end before their first save come back with an empty disk.
 */
class FirstStartTest {
    private static final long CASES_IN_CI = 500;
    private static final long CASES_IN_LONG_PROFILE = 50_000;
    private static final int[] SIZES = {3, 4, 5, 8};

    /** A process ends within this power of two of the fault points that it reaches. */
    private static final int MAX_POINT_EXPONENT = 9;

    private static final int MAX_DOWN_MS = 1_500;

    @Test
    void processesThatEndDuringTheFirstStartDoNotPreventIt() {
        assertEquals(List.of(), violations(0, CASES_IN_CI));
    }

    @Test
    @Tag("long")
    void manyProcessesThatEndDuringTheFirstStartDoNotPreventIt() {
        assertEquals(List.of(), violations(CASES_IN_CI, CASES_IN_CI + CASES_IN_LONG_PROFILE));
    }

    @Test
    void disksLostDuringTheFirstStartLoseNothingThatOthersStore() {
        List<String> violations =
                new Sweep("wipes", "FirstStartTest", 0, CASES_IN_CI)
                        .run(FirstStartTest::violationsWithLostDisks);
        assertEquals(List.of(), violations);
    }

    private static List<String> violations(long from, long to) {
        String longTest = "FirstStartTest#manyProcessesThatEndDuringTheFirstStartDoNotPreventIt";
        return new Sweep("starts", longTest, from, to).run(FirstStartTest::violations);
    }

    private static SimulatedCluster createCluster(long seed, SplittableRandom random) {
        int size = SIZES[random.nextInt(SIZES.length)];
        return SimulatedCluster.ofSize(size).seed(seed).build();
    }

    /** Checks safety only: the first group may be too small to go on without the lost disks. */
    private static String violationsWithLostDisks(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedCluster cluster = createCluster(seed, random);
        endProcesses(cluster, SimulatedNode::wipe, random);
        cluster.start();
        cluster.clock.run(Scenarios.RECOVERY_TIMEOUT_MS);
        return describe(seed, cluster);
    }

    private static String violations(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedCluster cluster = createCluster(seed, random);
        endProcesses(cluster, SimulatedNode::kill, random);
        cluster.start();
        cluster.onFaultPoint(node -> {});
        cluster.clock.run(MAX_DOWN_MS);
        cluster.expectAcknowledgement(Scenarios.RECOVERY_TIMEOUT_MS, "after the first start");
        cluster.clock.run(Scenarios.CATCH_UP_MS);
        cluster.expectAllAreMembers("after the first start");
        return describe(seed, cluster);
    }

    private static String describe(long seed, SimulatedCluster cluster) {
        List<String> violations = cluster.history.violations();
        return violations.isEmpty() ? "" : seed + ": " + violations;
    }

    /** Draws the processes to end, and after how many fault points each of them ends. */
    private static void endProcesses(
            SimulatedCluster cluster, Consumer<SimulatedNode> end, SplittableRandom random) {
        List<SimulatedNode> others = new ArrayList<>(cluster.nodes());
        Map<SimulatedNode, Integer> remainingPoints = new HashMap<>();
        int ends = 1 + random.nextInt(cluster.toleratedMachines);
        for (int i = 0; i < ends; i++) {
            SimulatedNode node = others.remove(random.nextInt(others.size()));
            remainingPoints.put(node, 1 + random.nextInt(1 << random.nextInt(MAX_POINT_EXPONENT)));
        }
        cluster.onFaultPoint(
                node -> {
                    Integer remaining =
                            remainingPoints.computeIfPresent(node, (n, points) -> points - 1);
                    if (remaining != null && remaining == 0) {
                        remainingPoints.remove(node);
                        end.accept(node);
                        int downMs = 1 + random.nextInt(MAX_DOWN_MS);
                        cluster.clock.schedule(downMs, () -> node.start(false));
                    }
                });
    }
}
