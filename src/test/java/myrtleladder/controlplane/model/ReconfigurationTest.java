package myrtleladder.controlplane.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import myrtleladder.replication.Replica;
import org.junit.jupiter.api.Test;

/** Machines join, leave, are replaced, flap or miss many changes; then a further fault follows. */
class ReconfigurationTest {
    @Test
    void anyDiskMayBeLostOnceAReplacementHasCaughtUp() {
        for (int replaced = 0; replaced < 3; replaced++) {
            for (int wiped = 0; wiped < 3; wiped++) {
                for (long downNode : new long[] {50, 6_000}) {
                    SimulatedCluster cluster = Scenarios.startCluster(replaced * 3 + wiped, 3);
                    cluster.remove(Scenarios.copyOfNodes(cluster).get(replaced));
                    cluster.clock.run(1_000);
                    cluster.addMachine().start(false);
                    cluster.clock.run(Scenarios.CATCH_UP_MS);
                    Scenarios.copyOfNodes(cluster).get(wiped).wipe();
                    cluster.clock.run(downNode);
                    if (downNode > Scenarios.FAILOVER_MS) {
                        cluster.expectAcknowledgement(
                                Scenarios.AVAILABILITY_TIMEOUT_MS, "while the wiped node is down");
                    }
                    cluster.heal();
                    cluster.clock.run(Scenarios.CATCH_UP_MS);
                    Scenarios.expectRecovered(
                            cluster, replaced + " replaced, then " + wiped + " wiped");
                }
            }
        }
    }

    @Test
    void anyDiskMayBeLostOnceADepartingNodeHasExited() {
        for (int departingIndex = 0; departingIndex < 3; departingIndex++) {
            for (long pause : new long[] {0, 100, 1_500, 3_000, 6_000}) {
                SimulatedCluster cluster = Scenarios.startCluster(departingIndex * 10L + pause, 3);
                SimulatedNode departingNode = Scenarios.copyOfNodes(cluster).get(departingIndex);
                cluster.addMachine().start(false);
                cluster.clock.run(Scenarios.CATCH_UP_MS);
                boolean[] exited = {false};
                departingNode.terminate(
                        () -> {
                            cluster.remove(departingNode);
                            exited[0] = true;
                        });
                cluster.clock.run(2_000);
                assertTrue(exited[0], "a node with a successor must exit at once");
                cluster.clock.run(pause);
                SimulatedNode leader = cluster.leader();
                assertNotNull(leader);
                leader.wipe();
                cluster.clock.run(Scenarios.FAILOVER_MS);
                cluster.expectAcknowledgement(
                        Scenarios.AVAILABILITY_TIMEOUT_MS, "after the second loss");
                cluster.heal();
                cluster.clock.run(Scenarios.CATCH_UP_MS);
                Scenarios.expectRecovered(
                        cluster, departingIndex + " left, the leader wiped after " + pause);
            }
        }
    }

    @Test
    void departingNodeWithoutSuccessorHandsOverItsStateAndExitsInTime() {
        SimulatedCluster cluster = Scenarios.startCluster(3, 3);
        SimulatedNode leader = cluster.leader();
        boolean[] exited = {false};
        leader.terminate(() -> exited[0] = true);
        cluster.clock.run(1_000);
        assertFalse(exited[0]);
        SimulatedNode next = cluster.leader();
        assertTrue(next != null && next != leader);
        assertFalse(next.replica().view().replicas.contains(leader.replica().self()));
        cluster.clock.run(4_000);
        assertTrue(exited[0]);
        cluster.heal();
        cluster.clock.run(Scenarios.CATCH_UP_MS);
        Scenarios.expectRecovered(cluster, "after the restart");
    }

    @Test
    void nodesThatAreAllTerminatedAtOnceExitInTimeAndRecover() {
        for (int size : new int[] {3, 4, 8}) {
            SimulatedCluster cluster = Scenarios.startCluster(size, size);
            int[] exited = {0};
            Scenarios.copyOfNodes(cluster).forEach(n -> n.terminate(() -> exited[0]++));
            cluster.clock.run(5_500);
            assertEquals(size, exited[0]);
            cluster.heal();
            cluster.clock.run(Scenarios.CATCH_UP_MS);
            Scenarios.expectRecovered(cluster, "after the termination of all " + size);
        }
    }

    @Test
    void removedMemberThatStillRunsIsAdmittedAgain() {
        SimulatedCluster cluster = Scenarios.startCluster(5, 4);
        SimulatedNode leader = cluster.leader();
        SimulatedNode other =
                Scenarios.copyOfNodes(cluster).stream()
                        .filter(n -> !leader.replica().view().replicas.contains(n.replica().self()))
                        .findFirst()
                        .orElseThrow();
        cluster.isolate(other);
        cluster.clock.run(4_000);
        assertFalse(cluster.leader().group().contains(other.replica().self()));
        cluster.heal();
        cluster.clock.run(2_500);
        assertTrue(cluster.leader().group().contains(other.replica().self()));
        assertEquals(Replica.State.FOLLOWER, other.replica().state());
        Scenarios.expectRecovered(cluster, "after the removed member was admitted again");
    }

    @Test
    void nodeThatFailsWhileJoiningDoesNotDelayTheOthers() {
        for (long failureMs = 0; failureMs < 700; failureMs += 50) {
            SimulatedCluster cluster = Scenarios.startCluster(failureMs, 3);
            SimulatedNode joiner = cluster.addMachine();
            long epoch = cluster.leader().replica().epoch();
            joiner.start(false);
            cluster.clock.run(failureMs);
            cluster.remove(joiner);
            cluster.clock.run(Scenarios.FAILOVER_MS);
            cluster.expectAcknowledgement(
                    Scenarios.AVAILABILITY_TIMEOUT_MS, "after the failure of the joining node");
            long views = cluster.leader().replica().epoch() - epoch;
            assertTrue(
                    views <= 5,
                    views + " views for a joining node that failed after ms " + failureMs);
            Scenarios.expectRecovered(cluster, "joining node that failed after ms " + failureMs);
        }
    }

    @Test
    void flappingMachineDoesNotAffectTheOthers() {
        SimulatedCluster cluster = Scenarios.startCluster(17, 4);
        SimulatedNode flappingNode = Scenarios.copyOfNodes(cluster).get(3);
        for (int i = 0; i < 6; i++) {
            flappingNode.kill();
            cluster.clock.run(900 + i * 400);
            cluster.heal();
            cluster.clock.run(1_200);
            cluster.expectAcknowledgement(
                    Scenarios.AVAILABILITY_TIMEOUT_MS, "while a machine flaps");
        }
        cluster.clock.run(Scenarios.CATCH_UP_MS);
        Scenarios.expectRecovered(cluster, "after the flapping");
    }

    @Test
    void memberThatMissedHundredsOfChangesCatchesUpInTime() {
        for (int downNode = 0; downNode < 3; downNode++) {
            SimulatedCluster cluster = Scenarios.startCluster(downNode, 3);
            SimulatedNode node = Scenarios.copyOfNodes(cluster).get(downNode);
            node.kill();
            for (int i = 0; i < 300; i++) {
                cluster.awaitCommitment(4_000);
            }
            assertTrue(
                    cluster.history.newestAcknowledgedGeneration() > 200,
                    "generation " + cluster.history.newestAcknowledgedGeneration());
            cluster.heal();
            cluster.clock.run(Scenarios.CATCH_UP_MS);
            SimulatedNode leader = cluster.leader();
            leader.wipe();
            cluster.clock.run(Scenarios.FAILOVER_MS);
            cluster.expectAcknowledgement(Scenarios.AVAILABILITY_TIMEOUT_MS, "after the next loss");
            cluster.heal();
            cluster.clock.run(Scenarios.CATCH_UP_MS);
            Scenarios.expectRecovered(cluster, "after 300 changes without " + downNode);
        }
    }

    @Test
    void machineIsAdmittedWithReplacedSeedsWhileAFormerSeedIsPartitioned() {
        SimulatedCluster cluster = Scenarios.startCluster(23, 5);
        cluster.replaceSeeds();
        SimulatedNode first = Scenarios.copyOfNodes(cluster).get(0);
        cluster.isolate(first);
        cluster.clock.run(Scenarios.FAILOVER_MS);
        SimulatedNode added = cluster.addMachine();
        added.start(false);
        cluster.clock.run(Scenarios.CATCH_UP_MS);
        assertTrue(cluster.leader().group().contains(added.replica().self()));
        cluster.heal();
        cluster.clock.run(Scenarios.CATCH_UP_MS);
        Scenarios.expectRecovered(cluster, "after the seeds were replaced");
    }
}
