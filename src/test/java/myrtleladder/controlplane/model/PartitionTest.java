package myrtleladder.controlplane.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Partitions of the leader and of half of the nodes, which are healed later. */
class PartitionTest {
    private static final int LAST_HEAL_MS = 2_000;

    @Test
    void partitionedLeaderStepsDownAndRejoinsAfterTheHeal() {
        for (int size : new int[] {3, 4, 5, 8}) {
            SimulatedCluster cluster = Scenarios.startCluster(size, size);
            SimulatedNode leader = cluster.leader();
            cluster.isolate(leader);
            cluster.clock.run(Scenarios.FAILOVER_MS);
            cluster.expectAcknowledgement(
                    Scenarios.AVAILABILITY_TIMEOUT_MS, "while the leader is partitioned");
            cluster.clock.run(20_000 - Scenarios.FAILOVER_MS);
            assertFalse(leader.isLeading());
            assertEquals(null, leader.replica().primary());
            cluster.heal();
            cluster.clock.run(Scenarios.CATCH_UP_MS);
            Scenarios.expectRecovered(cluster, "after the partition of the leader of " + size);
        }
    }

    /**
     * Guards against two leaders of an epoch: a leader that was cut off asks for the epoch that its
     * successor stands for, and overwrites the change that this one has acknowledged.
     */
    @Test
    void leaderWhoseLinksAreHealedInTurnOverwritesNoChange() {
        for (int firstHealMs = 400; firstHealMs <= 1_200; firstHealMs += 20) {
            for (boolean holdsBack : new boolean[] {true, false}) {
                healLinksOfLeaderInTurn(firstHealMs, holdsBack);
            }
        }
    }

    private static void healLinksOfLeaderInTurn(int firstHealMs, boolean holdsBack) {
        SimulatedCluster cluster = Scenarios.startCluster(firstHealMs, 3);
        SimulatedNode leader = cluster.leader();
        List<SimulatedNode> others = cluster.othersThan(leader);
        if (holdsBack) {
            cluster.isolateHoldingBack(leader);
        } else {
            cluster.isolate(leader);
        }
        cluster.clock.run(firstHealMs);
        cluster.network.heal(leader.address, others.get(0).address);
        cluster.clock.run(LAST_HEAL_MS - firstHealMs);
        cluster.network.heal(leader.address, others.get(1).address);
        cluster.clock.run(Scenarios.CATCH_UP_MS);
        Scenarios.expectRecovered(
                cluster, "after links were healed in turn, the first at " + firstHealMs);
    }

    @Test
    void minorityHasNoLeader() {
        for (int size : new int[] {3, 4, 5, 8}) {
            SimulatedCluster cluster = Scenarios.startCluster(size, size);
            List<SimulatedNode> all = Scenarios.copyOfNodes(cluster);
            List<SimulatedNode> minority = all.subList(0, size / 2);
            for (SimulatedNode one : minority) {
                for (SimulatedNode other : all.subList(size / 2, size)) {
                    cluster.network.partition(one.address, other.address);
                }
            }
            cluster.clock.run(8_000);
            for (SimulatedNode one : minority) {
                assertFalse(one.isLeading(), one.toString());
            }
            cluster.heal();
            cluster.clock.run(Scenarios.CATCH_UP_MS);
            Scenarios.expectRecovered(cluster, "after the partition into halves of " + size);
        }
    }

    @Test
    void leaderThatIsPartitionedOneWayIsReplaced() {
        for (boolean canReceive : new boolean[] {true, false}) {
            SimulatedCluster cluster = Scenarios.startCluster(11, 3);
            SimulatedNode leader = cluster.leader();
            for (SimulatedNode other : Scenarios.copyOfNodes(cluster)) {
                if (other != leader && canReceive) {
                    cluster.network.partitionOneWay(leader.address, other.address);
                } else if (other != leader) {
                    cluster.network.partitionOneWay(other.address, leader.address);
                }
            }
            cluster.clock.run(Scenarios.FAILOVER_MS);
            cluster.expectAcknowledgement(
                    Scenarios.AVAILABILITY_TIMEOUT_MS, "during the one-way partition");
            assertTrue(cluster.leader() != leader);
            cluster.heal();
            cluster.clock.run(Scenarios.CATCH_UP_MS);
            Scenarios.expectRecovered(cluster, "after the one-way partition");
        }
    }
}
