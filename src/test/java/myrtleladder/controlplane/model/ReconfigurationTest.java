package myrtleladder.controlplane.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import myrtleladder.replication.Replica;
import org.junit.jupiter.api.Test;

/** Machines join, leave, are replaced, flap or miss many changes, and more is lost thereafter. */
class ReconfigurationTest {
    @Test
    void anyDiskMayBeLostOnceAReplacementHasCaughtUp() {
        for (int gone = 0; gone < 3; gone++) {
            for (int wiped = 0; wiped < 3; wiped++) {
                for (long away : new long[] {50, 6_000}) {
                    SimulatedCluster cluster = Scenarios.started(gone * 3 + wiped, 3);
                    cluster.remove(Scenarios.nodes(cluster).get(gone));
                    cluster.clock.run(1_000);
                    cluster.addMachine().start(false);
                    cluster.clock.run(Scenarios.CATCH_UP_MS);
                    Scenarios.nodes(cluster).get(wiped).wipe();
                    cluster.clock.run(away);
                    if (away > Scenarios.FAILOVER_MS) {
                        cluster.expectAcknowledgement(
                                Scenarios.AVAILABILITY_TIMEOUT_MS, "while it is away");
                    }
                    cluster.heal();
                    cluster.clock.run(Scenarios.CATCH_UP_MS);
                    Scenarios.expectRecovered(
                            cluster, gone + " replaced, then " + wiped + " wiped");
                }
            }
        }
    }

    @Test
    void anyDiskMayBeLostOnceALeaverIsGone() {
        for (int leaver = 0; leaver < 3; leaver++) {
            for (long pause : new long[] {0, 100, 1_500, 3_000, 6_000}) {
                SimulatedCluster cluster = Scenarios.started(leaver * 10L + pause, 3);
                SimulatedNode leaves = Scenarios.nodes(cluster).get(leaver);
                cluster.addMachine().start(false);
                cluster.clock.run(Scenarios.CATCH_UP_MS);
                boolean[] ended = {false};
                leaves.terminate(
                        () -> {
                            cluster.remove(leaves);
                            ended[0] = true;
                        });
                cluster.clock.run(2_000);
                assertTrue(ended[0], "a successor stands, so nothing is to be waited for");
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
                        cluster, leaver + " left, the leader wiped after " + pause);
            }
        }
    }

    @Test
    void leaverWithoutSuccessorHandsItsCopyOverAndEndsInTime() {
        SimulatedCluster cluster = Scenarios.started(3, 3);
        SimulatedNode leader = cluster.leader();
        boolean[] ended = {false};
        leader.terminate(() -> ended[0] = true);
        cluster.clock.run(1_000);
        assertFalse(ended[0]);
        SimulatedNode next = cluster.leader();
        assertTrue(next != null && next != leader);
        assertFalse(next.replica().view().replicas.contains(leader.replica().self()));
        cluster.clock.run(4_000);
        assertTrue(ended[0]);
        cluster.heal();
        cluster.clock.run(Scenarios.CATCH_UP_MS);
        Scenarios.expectRecovered(cluster, "after the restart");
    }

    @Test
    void nodesThatAreAllStoppedAtOnceEndInTimeAndRecover() {
        for (int size : new int[] {3, 4, 8}) {
            SimulatedCluster cluster = Scenarios.started(size, size);
            int[] ended = {0};
            Scenarios.nodes(cluster).forEach(n -> n.terminate(() -> ended[0]++));
            cluster.clock.run(5_500);
            assertEquals(size, ended[0]);
            cluster.heal();
            cluster.clock.run(Scenarios.CATCH_UP_MS);
            Scenarios.expectRecovered(cluster, "after the stop of all " + size);
        }
    }

    @Test
    void droppedMemberThatIsAliveIsAdmittedAgain() {
        SimulatedCluster cluster = Scenarios.started(5, 4);
        SimulatedNode leader = cluster.leader();
        SimulatedNode other =
                Scenarios.nodes(cluster).stream()
                        .filter(n -> !leader.replica().view().replicas.contains(n.replica().self()))
                        .findFirst()
                        .orElseThrow();
        for (SimulatedNode node : Scenarios.nodes(cluster)) {
            if (node != other) {
                cluster.network.partition(node.address, other.address);
            }
        }
        cluster.clock.run(4_000);
        assertFalse(cluster.leader().group().contains(other.replica().self()));
        cluster.heal();
        cluster.clock.run(2_500);
        assertTrue(cluster.leader().group().contains(other.replica().self()));
        assertEquals(Replica.State.FOLLOWER, other.replica().state());
        Scenarios.expectRecovered(cluster, "after the drop");
    }

    @Test
    void joinerThatDiesWhileJoiningDelaysNobody() {
        for (long after = 0; after < 700; after += 50) {
            SimulatedCluster cluster = Scenarios.started(after, 3);
            SimulatedNode joiner = cluster.addMachine();
            long epoch = cluster.leader().replica().epoch();
            joiner.start(false);
            cluster.clock.run(after);
            cluster.remove(joiner);
            cluster.clock.run(Scenarios.FAILOVER_MS);
            cluster.expectAcknowledgement(
                    Scenarios.AVAILABILITY_TIMEOUT_MS, "after the joiner's end");
            long views = cluster.leader().replica().epoch() - epoch;
            assertTrue(views <= 5, views + " views for a joiner that ended after " + after);
            Scenarios.expectRecovered(cluster, "a joiner that ends after " + after);
        }
    }

    @Test
    void flappingMachineDoesNotAffectTheOthers() {
        SimulatedCluster cluster = Scenarios.started(17, 4);
        SimulatedNode flaps = Scenarios.nodes(cluster).get(3);
        for (int i = 0; i < 6; i++) {
            flaps.kill();
            cluster.clock.run(900 + i * 400);
            cluster.heal();
            cluster.clock.run(1_200);
            cluster.expectAcknowledgement(
                    Scenarios.AVAILABILITY_TIMEOUT_MS, "beside the flapping machine");
        }
        cluster.clock.run(Scenarios.CATCH_UP_MS);
        Scenarios.expectRecovered(cluster, "after the flapping");
    }

    @Test
    void memberThatMissedHundredsOfChangesCatchesUpInTime() {
        for (int away = 0; away < 3; away++) {
            SimulatedCluster cluster = Scenarios.started(away, 3);
            SimulatedNode node = Scenarios.nodes(cluster).get(away);
            node.kill();
            for (int i = 0; i < 300; i++) {
                cluster.awaitCommitment(4_000);
            }
            assertTrue(
                    cluster.history.newestAcknowledged() > 200,
                    "generation " + cluster.history.newestAcknowledged());
            cluster.heal();
            cluster.clock.run(Scenarios.CATCH_UP_MS);
            SimulatedNode leader = cluster.leader();
            leader.wipe();
            cluster.clock.run(Scenarios.FAILOVER_MS);
            cluster.expectAcknowledgement(Scenarios.AVAILABILITY_TIMEOUT_MS, "after the next loss");
            cluster.heal();
            cluster.clock.run(Scenarios.CATCH_UP_MS);
            Scenarios.expectRecovered(cluster, "after 300 changes without " + away);
        }
    }

    @Test
    void machineIsAdmittedWithReplacedSeedsAndAFormerOnePartitioned() {
        SimulatedCluster cluster = Scenarios.started(23, 5);
        cluster.replaceSeeds();
        SimulatedNode first = Scenarios.nodes(cluster).get(0);
        for (SimulatedNode other : Scenarios.nodes(cluster)) {
            if (other != first) {
                cluster.network.partition(first.address, other.address);
            }
        }
        cluster.clock.run(Scenarios.FAILOVER_MS);
        SimulatedNode added = cluster.addMachine();
        added.start(false);
        cluster.clock.run(Scenarios.CATCH_UP_MS);
        assertTrue(cluster.leader().group().contains(added.replica().self()));
        cluster.heal();
        cluster.clock.run(Scenarios.CATCH_UP_MS);
        Scenarios.expectRecovered(cluster, "after other seeds");
    }
}
