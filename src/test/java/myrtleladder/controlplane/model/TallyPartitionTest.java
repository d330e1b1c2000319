package myrtleladder.controlplane.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Additions at eight nodes in four zones during partitions between zones and nodes. */
class TallyPartitionTest {
    private static final String TALLY = "t1";
    private static final long DETECTION_MS = 1_500;
    private static final long MERGE_MS = 3_000;
    private static final int NO_RESPONSE = 0;

    private final SimulatedCluster cluster =
            SimulatedCluster.ofSize(8).seed(5).withTallies().build();
    private final TallyHistory history = new TallyHistory(cluster.history);
    private final TallyClient client = new TallyClient(cluster, history, "app");

    @BeforeEach
    void startNodes() {
        cluster.startNodes();
        cluster.clock.run(2_000);
    }

    /** A node by its number; a zone consists of the nodes {@code number} and {@code number + 4}. */
    private SimulatedNode node(int number) {
        return cluster.nodes().get(number);
    }

    private int add(int number, String id, long amount) {
        int[] status = {NO_RESPONSE};
        client.add(node(number), TALLY, id, amount, code -> status[0] = code);
        for (int i = 0; i < 1_000 && status[0] == NO_RESPONSE; i++) {
            cluster.clock.run(1);
        }
        return status[0];
    }

    private void partition(List<Integer> oneSide, List<Integer> otherSide) {
        for (int one : oneSide) {
            for (int other : otherSide) {
                cluster.network.partition(node(one).address, node(other).address);
            }
        }
        cluster.clock.run(DETECTION_MS);
    }

    private long read(int number) {
        return client.readNow(node(number), TALLY);
    }

    private void expectAllRead(long total) {
        cluster.clock.run(MERGE_MS);
        for (int i = 0; i < cluster.nodes().size(); i++) {
            assertEquals(total, read(i), node(i).address);
        }
        assertEquals(List.of(), cluster.history.violations());
    }

    @Test
    void sameIdAtBothSidesOfAPartitionCountsOnce() {
        partition(List.of(0, 4), List.of(1, 2, 3, 5, 6, 7));
        assertEquals(200, add(0, "a", 4));
        assertEquals(200, add(1, "a", 4));
        assertEquals(200, add(4, "b", 2));
        assertEquals(4, read(1));
        assertEquals(6, read(0));
        cluster.heal();
        expectAllRead(6);
    }

    @Test
    void sameIdAtTwoNodesAtOnceCountsOnce() {
        client.add(node(0), TALLY, "a", 4, status -> assertEquals(200, status));
        assertEquals(200, add(1, "a", 4));
        expectAllRead(4);
    }

    @Test
    void sameIdAgainAfterAllHaveRestartedCountsOnce() {
        assertEquals(200, add(0, "a", 4));
        cluster.nodes().forEach(SimulatedNode::powerOff);
        cluster.heal();
        cluster.clock.run(SimulatedCluster.CATCH_UP_MS);
        assertEquals(200, add(3, "a", 4));
        expectAllRead(4);
    }

    @Test
    void additionSurvivesTheLossOfTwoDisksAndAPowerFailure() {
        for (int second = 1; second < 8; second++) {
            cluster.nodes().forEach(node -> node.disk().setMode(SimulatedDisk.Mode.SLOW));
            node(0).disk().setMode(SimulatedDisk.Mode.SOUND);
            assertEquals(200, add(0, "a" + second, 1));
            cluster.nodes().forEach(SimulatedNode::powerOff);
            node(0).wipe();
            node(second).wipe();
            cluster.heal();
            cluster.clock.run(SimulatedCluster.CATCH_UP_MS);
            expectAllRead(second);
        }
    }

    @Test
    void lossOfAZoneLosesNoAddition() {
        assertEquals(200, add(0, "a", 4));
        node(0).wipe();
        node(4).wipe();
        cluster.clock.run(DETECTION_MS);
        assertEquals(4, read(1));
    }

    @Test
    void lastMachineOfASideContinuesAlone() {
        node(4).powerOff();
        partition(List.of(0, 4), List.of(1, 2, 3, 5, 6, 7));
        assertEquals(200, add(0, "a", 4));
        assertEquals(200, add(1, "b", 1));
        cluster.heal();
        expectAllRead(5);
    }

    @Test
    void powerFailureDuringAPartitionLosesNothing() {
        partition(List.of(0, 1, 4, 5), List.of(2, 3, 6, 7));
        assertEquals(200, add(0, "a", 4));
        assertEquals(200, add(2, "b", 1));
        cluster.nodes().forEach(SimulatedNode::powerOff);
        cluster.clock.run(100);
        cluster.nodes().forEach(node -> node.start(false));
        cluster.clock.run(SimulatedCluster.CATCH_UP_MS);
        assertEquals(4, read(5));
        assertEquals(200, add(5, "c", 1));
        cluster.heal();
        expectAllRead(6);
    }

    @Test
    void wipedNodeAtItsOldAddressServesOnlyOnceItHasCaughtUp() {
        assertEquals(200, add(0, "a", 4));
        node(0).wipe();
        partition(List.of(0), List.of(1, 2, 3, 4, 5, 6, 7));
        node(0).start(false);
        cluster.clock.run(10_000);
        assertEquals(-1, read(0));
        assertEquals(503, add(0, "never", 7));
        cluster.heal();
        expectAllRead(4);
        assertEquals(200, add(0, "b", 1));
        expectAllRead(5);
    }

    @Test
    void wipedNodesThatReachOnlyEachOtherStayIncomplete() {
        assertEquals(200, add(0, "a", 4));
        List.of(0, 1).forEach(number -> node(number).wipe());
        partition(List.of(0, 1), List.of(2, 3, 4, 5, 6, 7));
        List.of(0, 1).forEach(number -> node(number).start(false));
        cluster.clock.run(10_000);
        assertEquals(-1, read(0));
        assertEquals(503, add(1, "never", 7));
        cluster.heal();
        expectAllRead(4);
    }

    @Test
    void wipedNodeThatRestartsBeforeItHasCaughtUpStillCountsAsWiped() {
        assertEquals(200, add(0, "a", 4));
        node(0).wipe();
        partition(List.of(0), List.of(1, 2, 3, 4, 5, 6, 7));
        node(0).start(false);
        cluster.clock.run(1_000);
        node(0).kill();
        node(0).start(false);
        cluster.clock.run(10_000);
        assertEquals(-1, read(0));
        cluster.heal();
        expectAllRead(4);
        node(0).kill();
        partition(List.of(0), List.of(1, 2, 3, 4, 5, 6, 7));
        node(0).start(false);
        cluster.clock.run(3_000);
        assertEquals(4, read(0));
    }

    @Test
    void machineThatAcknowledgedAloneAndLostItsDiskDoesNotBlockTheOthers() {
        node(4).powerOff();
        partition(List.of(0, 4), List.of(1, 2, 3, 5, 6, 7));
        assertEquals(200, add(0, "lost", 4));
        history.excludeLostAdditions(TallyClient.processName(node(0)));
        node(0).wipe();
        cluster.heal();
        cluster.clock.run(SimulatedCluster.CATCH_UP_MS);
        assertEquals(200, add(0, "b", 1));
        expectAllRead(1);
    }

    @Test
    void nestedPartitionsMergeStepByStep() {
        partition(List.of(0, 4), List.of(1, 2, 3, 5, 6, 7));
        partition(List.of(1, 5), List.of(2, 3, 6, 7));
        assertEquals(200, add(0, "a", 1));
        assertEquals(200, add(1, "b", 10));
        assertEquals(200, add(2, "c", 100));
        cluster.network.heal();
        partition(List.of(0, 4), List.of(1, 2, 3, 5, 6, 7));
        cluster.clock.run(MERGE_MS);
        assertEquals(110, read(1));
        assertEquals(110, read(2));
        assertEquals(1, read(0));
        cluster.heal();
        expectAllRead(111);
    }

    @Test
    void oneWayLinkCountsAsPartitioned() {
        for (int other = 1; other < 8; other++) {
            cluster.network.partitionOneWay(node(0).address, node(other).address);
        }
        cluster.clock.run(DETECTION_MS);
        assertEquals(200, add(0, "a", 1));
        assertEquals(200, add(1, "b", 10));
        cluster.heal();
        expectAllRead(11);
    }

    @Test
    void additionsReachPartitionedZonesThroughAThirdZone() {
        partition(List.of(0, 4), List.of(1, 5));
        assertEquals(200, add(0, "a", 1));
        assertEquals(200, add(1, "b", 10));
        assertEquals(200, add(1, "a", 1));
        expectAllRead(11);
    }

    @Test
    void mergeContinuesWhileThePrimaryChangesAndANodeIsReplaced() {
        SimulatedNode leader = cluster.leader();
        List<SimulatedNode> others = cluster.othersThan(leader);
        cluster.isolate(leader);
        cluster.clock.run(DETECTION_MS);
        assertEquals(200, add(cluster.nodes().indexOf(leader), "a", 1));
        assertEquals(200, add(cluster.nodes().indexOf(others.get(0)), "b", 10));
        cluster.network.heal();
        cluster.remove(others.get(6));
        cluster.addMachine().start(false);
        cluster.clock.run(SimulatedCluster.CATCH_UP_MS);
        assertNotEquals(leader, cluster.leader());
        expectAllRead(11);
    }

    @Test
    void stalledAndFullDisksOfTwoMachinesDelayNoAddition() {
        node(0).disk().setMode(SimulatedDisk.Mode.STALLED);
        node(1).disk().setMode(SimulatedDisk.Mode.FULL);
        for (int i = 0; i < 8; i++) {
            assertEquals(200, add(i, "a" + i, 1));
        }
        cluster.heal();
        expectAllRead(8);
    }

    @Test
    void isolatedMachineWithAFullDiskAcknowledgesNothing() {
        partition(List.of(0), List.of(1, 2, 3, 4, 5, 6, 7));
        node(0).disk().setMode(SimulatedDisk.Mode.FULL);
        assertEquals(504, add(0, "a", 4));
        assertTrue(read(0) <= 4);
        cluster.heal();
        assertEquals(200, add(1, "a", 4));
        expectAllRead(4);
    }
}
