package myrtleladder.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import myrtleladder.protocol.AcceptViewRequest;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.HeartbeatRequest;
import myrtleladder.protocol.InstallStateRequest;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PrepareRequest;
import myrtleladder.protocol.ReplicateRequest;
import myrtleladder.protocol.Snapshot;
import myrtleladder.protocol.View;
import myrtleladder.replication.VirtualCluster.Node;
import org.junit.jupiter.api.Test;

/** The replication protocol against each kind of loss, on a manual clock. */
class ReplicaTest {
    private static VirtualCluster started(int size, int tolerated) {
        VirtualCluster cluster = new VirtualCluster(7, size, 3, tolerated);
        cluster.clock.run(3_000);
        assertNotNull(cluster.primary());
        return cluster;
    }

    private static void acknowledge(VirtualCluster cluster) {
        int before = cluster.acknowledged.size();
        for (int i = 0; i < 20 && cluster.acknowledged.size() == before; i++) {
            cluster.order();
            cluster.clock.run(200);
        }
        assertEquals(before + 1, cluster.acknowledged.size());
    }

    @Test
    void theFirstSeedLeadsAndAChangeHasTwoCopies() {
        VirtualCluster cluster = started(3, 1);
        assertEquals("n0:1", cluster.primary().address);
        acknowledge(cluster);
        long copies =
                cluster.nodes.values().stream()
                        .filter(
                                n ->
                                        n.replica
                                                .snapshot()
                                                .changeDigests
                                                .containsAll(cluster.acknowledged))
                        .count();
        assertEquals(2, copies);
    }

    @Test
    void theBackupLeadsAfterThePrimaryIsKilled() {
        VirtualCluster cluster = started(3, 1);
        acknowledge(cluster);
        Node old = cluster.primary();
        old.kill();
        cluster.clock.run(2_500);
        assertNotEquals(old.address, cluster.primary().address);
        acknowledge(cluster);
        assertEquals(List.of(), cluster.settle());
    }

    @Test
    void theWitnessBecomesReplicaBeforeTheNextAcknowledgement() {
        VirtualCluster cluster = started(3, 1);
        acknowledge(cluster);
        Node backup = cluster.nodes.get(cluster.primary().replica.view().replicas.get(1).address);
        backup.kill();
        acknowledge(cluster);
        assertTrue(
                cluster.primary().replica.view().replicas.stream()
                        .noneMatch(m -> m.address.equals(backup.address)));
        Node primary = cluster.primary();
        primary.kill();
        backup.start(false);
        cluster.clock.run(4_000);
        assertEquals(List.of(), cluster.settle());
    }

    @Test
    void aWipedPrimaryComesBackAsAnotherMemberAndNothingIsLost() {
        VirtualCluster cluster = started(3, 1);
        acknowledge(cluster);
        Node old = cluster.primary();
        String store = old.replica.self().storeId;
        old.wipe();
        cluster.clock.run(500);
        old.start(false);
        cluster.clock.run(4_000);
        assertNotEquals(store, old.replica.self().storeId);
        assertTrue(cluster.primary().replica.view().group.contains(old.replica.self()));
        assertTrue(cluster.primary().replica.view().isGroupStable());
        assertEquals(List.of(), cluster.settle());
    }

    @Test
    void aFrozenPrimaryNeitherConfirmsNorAcknowledgesWhenItThaws() {
        VirtualCluster cluster = started(3, 1);
        acknowledge(cluster);
        Node old = cluster.primary();
        old.frozenUntil = cluster.clock.now() + 4_000;
        cluster.clock.run(3_999);
        assertNotEquals(old.address, cluster.primary().address);
        boolean[] confirmed = {false};
        cluster.clock.run(2);
        old.replica.confirm(ok -> confirmed[0] = ok);
        cluster.clock.run(2_000);
        assertEquals(false, confirmed[0]);
        assertNotEquals(Replica.State.PRIMARY, old.replica.state());
        assertEquals(List.of(), cluster.settle());
    }

    @Test
    void aCutOffPrimaryCannotAcknowledge() {
        VirtualCluster cluster = started(3, 1);
        Node old = cluster.primary();
        cluster.cut(old.address);
        cluster.clock.run(1_500);
        assertTrue(!old.replica.recentlyConfirmed());
        acknowledge(cluster);
        assertNotEquals(old.address, cluster.primary().address);
        assertEquals(List.of(), cluster.settle());
    }

    @Test
    void aPrimaryWithAFullOrStalledDiskHandsOver() {
        for (boolean full : new boolean[] {true, false}) {
            VirtualCluster cluster = started(3, 1);
            Node old = cluster.primary();
            old.diskFull = full;
            old.syncMs = full ? 5 : 10_000;
            cluster.order();
            cluster.clock.run(3_000);
            assertNotEquals(old.address, cluster.primary().address);
            acknowledge(cluster);
            old.diskFull = false;
            old.syncMs = 5;
            cluster.clock.run(10_000);
            assertEquals(List.of(), cluster.settle());
        }
    }

    @Test
    void allProcessesKilledAtOnceComeBackWithWhatWasAcknowledged() {
        VirtualCluster cluster = started(4, 1);
        acknowledge(cluster);
        cluster.nodes.values().forEach(Node::kill);
        assertNull(cluster.primary());
        cluster.clock.run(500);
        cluster.nodes.values().forEach(n -> n.start(false));
        cluster.clock.run(2_000);
        assertNotNull(cluster.primary());
        assertEquals(List.of(), cluster.settle());
    }

    @Test
    void nodesBesideTheSeedsAreAdmittedToTheGroup() {
        VirtualCluster cluster = started(8, 2);
        cluster.clock.run(4_000);
        assertEquals(8, cluster.primary().replica.view().group.size());
        assertEquals(3, cluster.primary().replica.view().replicas.size());
        acknowledge(cluster);
    }

    @Test
    void aCandidateLearnsOfAHigherEpochThatWasPromisedInVain() {
        VirtualCluster cluster = started(3, 1);
        acknowledge(cluster);
        Node witness = cluster.node(2);
        witness.replica.receive(
                myrtleladder.protocol.PrepareRequest.of(40, cluster.node(1).replica.self(), false),
                a -> {});
        cluster.clock.run(100);
        cluster.node(0).kill();
        cluster.clock.run(4_000);
        assertNotNull(cluster.primary());
        assertTrue(cluster.primary().replica.epoch() > 40);
    }

    @Test
    void aResignedPrimaryIsFollowedAtOnce() {
        VirtualCluster cluster = started(3, 1);
        Node old = cluster.primary();
        old.replica.resign("asked to end");
        cluster.clock.run(300);
        assertNotNull(cluster.primary());
        assertNotEquals(old.address, cluster.primary().address);
    }

    @Test
    void whoPromisedAnEpochTakesNothingOfALowerOne() {
        VirtualCluster cluster = started(3, 1);
        acknowledge(cluster);
        Replica primary = cluster.primary().replica;
        Member other = primary.view().replicas.get(1);
        Replica backup = cluster.nodes.get(other.address).replica;
        View view = primary.view();
        backup.receive(
                PrepareRequest.of(view.epoch + 7, Member.of("z:1", "z:2", "z"), false), a -> {});
        Snapshot before = backup.snapshot();
        View accepted = backup.view();
        List<Message> late =
                List.of(
                        ReplicateRequest.of(view.epoch, new byte[] {9}, 99, "late"),
                        InstallStateRequest.of(
                                view.epoch, Snapshot.of(new byte[] {9}, 99, List.of()), List.of()),
                        AcceptViewRequest.of(
                                View.of(view.epoch, other, view.group, view.group, view.group)),
                        HeartbeatRequest.of(view));
        for (Message message : late) {
            Message[] answer = new Message[1];
            backup.receive(message, a -> answer[0] = a);
            AcknowledgeResponse refusal = (AcknowledgeResponse) answer[0];
            assertEquals(false, refusal.accepted, message.toString());
            assertEquals(view.epoch + 7, refusal.promisedEpoch);
        }
        assertEquals(before, backup.snapshot());
        assertEquals(accepted, backup.view());
    }
}
