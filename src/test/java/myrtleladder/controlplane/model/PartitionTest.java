package myrtleladder.controlplane.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The leader, or a half of the nodes, is partitioned for a while. */
class PartitionTest {
    @Test
    void partitionedLeaderAnswersNothingAndFollowsOnceItIsBack() {
        for (int size : new int[] {3, 4, 5, 8}) {
            SimulatedCluster cluster = Scenarios.started(size, size);
            SimulatedNode leader = cluster.leader();
            for (SimulatedNode other : Scenarios.nodes(cluster)) {
                if (other != leader) {
                    cluster.network.partition(leader.address, other.address);
                }
            }
            cluster.clock.run(Scenarios.FAILOVER_MS);
            cluster.expectAcknowledgement(
                    Scenarios.AVAILABILITY_TIMEOUT_MS, "beside the one that is cut off");
            cluster.clock.run(20_000 - Scenarios.FAILOVER_MS);
            assertFalse(leader.isLeading());
            assertEquals(null, leader.replica().primary());
            cluster.heal();
            cluster.clock.run(Scenarios.CATCH_UP_MS);
            Scenarios.expectRecovered(cluster, "after the cut of " + size);
        }
    }

    @Test
    void smallerHalfHasNoLeader() {
        for (int size : new int[] {3, 4, 5, 8}) {
            SimulatedCluster cluster = Scenarios.started(size, size);
            List<SimulatedNode> all = Scenarios.nodes(cluster);
            List<SimulatedNode> small = all.subList(0, size / 2);
            for (SimulatedNode one : small) {
                for (SimulatedNode other : all.subList(size / 2, size)) {
                    cluster.network.partition(one.address, other.address);
                }
            }
            cluster.clock.run(8_000);
            for (SimulatedNode one : small) {
                assertFalse(one.isLeading(), one.toString());
            }
            cluster.heal();
            cluster.clock.run(Scenarios.CATCH_UP_MS);
            Scenarios.expectRecovered(cluster, "after the halves of " + size);
        }
    }

    @Test
    void leaderThatIsPartitionedOneWayIsReplaced() {
        for (boolean hears : new boolean[] {true, false}) {
            SimulatedCluster cluster = Scenarios.started(11, 3);
            SimulatedNode leader = cluster.leader();
            for (SimulatedNode other : Scenarios.nodes(cluster)) {
                if (other != leader && hears) {
                    cluster.network.partitionOneWay(leader.address, other.address);
                } else if (other != leader) {
                    cluster.network.partitionOneWay(other.address, leader.address);
                }
            }
            cluster.clock.run(Scenarios.FAILOVER_MS);
            cluster.expectAcknowledgement(
                    Scenarios.AVAILABILITY_TIMEOUT_MS, "beside the one-way cut");
            assertTrue(cluster.leader() != leader);
            cluster.heal();
            cluster.clock.run(Scenarios.CATCH_UP_MS);
            Scenarios.expectRecovered(cluster, "after the one-way cut");
        }
    }
}
