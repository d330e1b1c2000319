package myrtleladder.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
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
import org.junit.jupiter.api.Test;

/** The replication protocol under each kind of failure, on a manual clock. */
class ReplicaTest {
    private static final long RANDOM_SEED = 7;
    private static final long STARTUP_MS = 3_000;
    private static final int MAX_ATTEMPTS = 20;
    private static final long ATTEMPT_INTERVAL_MS = 200;

    private static VirtualCluster clusterWithPrimary(int nodes, int toleratedFailures) {
        VirtualCluster cluster =
                VirtualCluster.builder()
                        .randomSeed(RANDOM_SEED)
                        .nodes(nodes)
                        .toleratedFailures(toleratedFailures)
                        .start();
        cluster.clock.run(STARTUP_MS);
        assertNotNull(cluster.primary());
        return cluster;
    }

    /** Submits changes until one is acknowledged. */
    private static void commitChange(VirtualCluster cluster) {
        int before = cluster.acknowledged.size();
        for (int i = 0; i < MAX_ATTEMPTS && cluster.acknowledged.size() == before; i++) {
            cluster.submitChange();
            cluster.clock.run(ATTEMPT_INTERVAL_MS);
        }
        assertEquals(before + 1, cluster.acknowledged.size());
    }

    private static void assertRecoversWithoutLoss(VirtualCluster cluster) {
        assertEquals(List.of(), cluster.violationsAfterRecovery());
    }

    @Test
    void firstSeedBecomesPrimaryAndChangeIsSavedByTwoReplicas() {
        VirtualCluster cluster = clusterWithPrimary(3, 1);
        assertEquals("n0:1", cluster.primary().address);
        commitChange(cluster);
        long replicas =
                cluster.nodes.values().stream()
                        .filter(
                                n ->
                                        n.replica
                                                .snapshot()
                                                .changeDigests
                                                .containsAll(cluster.acknowledged))
                        .count();
        assertEquals(2, replicas);
    }

    @Test
    void backupBecomesPrimaryAfterPrimaryWasKilled() {
        VirtualCluster cluster = clusterWithPrimary(3, 1);
        commitChange(cluster);
        VirtualNode formerPrimary = cluster.primary();
        formerPrimary.kill();
        cluster.clock.run(2_500);
        assertNotEquals(formerPrimary.address, cluster.primary().address);
        commitChange(cluster);
        assertRecoversWithoutLoss(cluster);
    }

    @Test
    void voterIsMadeReplicaBeforeNextAcknowledgementAfterBackupWasKilled() {
        VirtualCluster cluster = clusterWithPrimary(3, 1);
        commitChange(cluster);
        Member backupMember = cluster.primary().replica.view().replicas.get(1);
        VirtualNode backup = cluster.nodes.get(backupMember.address);
        backup.kill();
        commitChange(cluster);
        assertTrue(
                cluster.primary().replica.view().replicas.stream()
                        .noneMatch(m -> m.address.equals(backup.address)));
        VirtualNode primary = cluster.primary();
        primary.kill();
        backup.start(false);
        cluster.clock.run(4_000);
        assertRecoversWithoutLoss(cluster);
    }

    @Test
    void primaryThatLostItsDiskReturnsAsAnotherMember() {
        VirtualCluster cluster = clusterWithPrimary(3, 1);
        commitChange(cluster);
        VirtualNode formerPrimary = cluster.primary();
        String store = formerPrimary.replica.self().storeId;
        formerPrimary.killAndWipe();
        cluster.clock.run(500);
        formerPrimary.start(false);
        cluster.clock.run(4_000);
        assertNotEquals(store, formerPrimary.replica.self().storeId);
        assertTrue(cluster.primary().replica.view().group.contains(formerPrimary.replica.self()));
        assertTrue(cluster.primary().replica.view().isGroupStable());
        assertRecoversWithoutLoss(cluster);
    }

    @Test
    void primaryThatWasPausedNeitherConfirmsNorAcknowledges() {
        VirtualCluster cluster = clusterWithPrimary(3, 1);
        commitChange(cluster);
        VirtualNode formerPrimary = cluster.primary();
        formerPrimary.pause(4_000);
        cluster.clock.run(3_999);
        assertNotEquals(formerPrimary.address, cluster.primary().address);
        AtomicBoolean confirmed = new AtomicBoolean();
        cluster.clock.run(2);
        formerPrimary.replica.confirm(confirmed::set);
        cluster.clock.run(2_000);
        assertFalse(confirmed.get());
        assertNotEquals(Replica.State.PRIMARY, formerPrimary.replica.state());
        assertRecoversWithoutLoss(cluster);
    }

    @Test
    void isolatedPrimaryIsNotConfirmedAndIsReplaced() {
        VirtualCluster cluster = clusterWithPrimary(3, 1);
        VirtualNode formerPrimary = cluster.primary();
        cluster.isolate(formerPrimary.address);
        cluster.clock.run(1_500);
        assertFalse(formerPrimary.replica.isRecentlyConfirmed());
        commitChange(cluster);
        assertNotEquals(formerPrimary.address, cluster.primary().address);
        assertRecoversWithoutLoss(cluster);
    }

    @Test
    void primaryWithFullDiskResigns() {
        VirtualCluster cluster = clusterWithPrimary(3, 1);
        VirtualNode primary = cluster.primary();
        primary.disk.fill();
        assertResignsAfterNextChange(cluster, primary);
    }

    @Test
    void primaryWithStalledDiskResigns() {
        VirtualCluster cluster = clusterWithPrimary(3, 1);
        VirtualNode primary = cluster.primary();
        primary.disk.slowDown(10_000);
        assertResignsAfterNextChange(cluster, primary);
    }

    private static void assertResignsAfterNextChange(VirtualCluster cluster, VirtualNode primary) {
        cluster.submitChange();
        cluster.clock.run(3_000);
        assertNotEquals(primary.address, cluster.primary().address);
        commitChange(cluster);
        primary.disk.repair();
        cluster.clock.run(10_000);
        assertRecoversWithoutLoss(cluster);
    }

    @Test
    void clusterRecoversAcknowledgedChangesAfterAllProcessesWereKilled() {
        VirtualCluster cluster = clusterWithPrimary(4, 1);
        commitChange(cluster);
        cluster.nodes.values().forEach(VirtualNode::kill);
        assertNull(cluster.primary());
        cluster.clock.run(500);
        cluster.nodes.values().forEach(n -> n.start(false));
        cluster.clock.run(2_000);
        assertNotNull(cluster.primary());
        assertRecoversWithoutLoss(cluster);
    }

    @Test
    void nodesThatAreNotSeedsAreAdmittedToTheGroup() {
        VirtualCluster cluster = clusterWithPrimary(8, 2);
        cluster.clock.run(4_000);
        assertEquals(8, cluster.primary().replica.view().group.size());
        assertEquals(3, cluster.primary().replica.view().replicas.size());
        commitChange(cluster);
    }

    @Test
    void candidateUsesAnEpochAboveTheOnePromisedToAnotherCandidate() {
        VirtualCluster cluster = clusterWithPrimary(3, 1);
        commitChange(cluster);
        VirtualNode voter = cluster.node(2);
        Member candidate = cluster.node(1).replica.self();
        voter.replica.receive(PrepareRequest.of(40, candidate, false), answer -> {});
        cluster.clock.run(100);
        cluster.node(0).kill();
        cluster.clock.run(4_000);
        assertNotNull(cluster.primary());
        assertTrue(cluster.primary().replica.epoch() > 40);
    }

    @Test
    void successorBecomesPrimarySoonAfterResignation() {
        VirtualCluster cluster = clusterWithPrimary(3, 1);
        VirtualNode formerPrimary = cluster.primary();
        formerPrimary.replica.resign("shutting down");
        cluster.clock.run(300);
        assertNotNull(cluster.primary());
        assertNotEquals(formerPrimary.address, cluster.primary().address);
    }

    @Test
    void memberThatPromisedAnEpochRejectsAllRequestsOfLowerEpochs() {
        VirtualCluster cluster = clusterWithPrimary(3, 1);
        commitChange(cluster);
        View view = cluster.primary().replica.view();
        Member backupMember = view.replicas.get(1);
        Replica backup = cluster.nodes.get(backupMember.address).replica;
        long promised = view.epoch + 7;
        backup.receive(
                PrepareRequest.of(promised, Member.of("z:1", "z:2", "z"), false), answer -> {});
        Snapshot snapshot = backup.snapshot();
        View knownView = backup.view();
        for (Message late : requestsOfEpoch(view, backupMember)) {
            AtomicReference<Message> answer = new AtomicReference<>();
            backup.receive(late, answer::set);
            AcknowledgeResponse rejection = (AcknowledgeResponse) answer.get();
            assertFalse(rejection.accepted, late.toString());
            assertEquals(promised, rejection.promisedEpoch);
        }
        assertEquals(snapshot, backup.snapshot());
        assertEquals(knownView, backup.view());
    }

    /** Returns one request of each kind that a primary or candidate of a view's epoch sends. */
    private static List<Message> requestsOfEpoch(View view, Member primary) {
        byte[] document = {9};
        View other = View.of(view.epoch, primary, view.group, view.group, view.group);
        return List.of(
                ReplicateRequest.of(view.epoch, document, 99, "late"),
                InstallStateRequest.of(
                        view.epoch, primary, Snapshot.of(document, 99, List.of()), List.of()),
                AcceptViewRequest.of(other),
                HeartbeatRequest.of(view));
    }

    @Test
    void joiningNodeIgnoresResign() {
        VirtualCluster cluster = clusterWithPrimary(4, 1);
        VirtualNode outside = cluster.node(3);
        cluster.isolate(outside.address);
        outside.killAndWipe();
        outside.start(false);
        cluster.clock.run(ATTEMPT_INTERVAL_MS);
        assertEquals(Replica.State.JOINING, outside.replica.state());
        outside.replica.resign("shutting down");
        assertEquals(Replica.State.JOINING, outside.replica.state());
    }

    @Test
    void seedsThatEndBeforeTheirFirstSaveDoNotPreventTheFirstView() {
        List<List<Integer>> losses =
                List.of(
                        List.of(0),
                        List.of(1),
                        List.of(2),
                        List.of(0, 1),
                        List.of(0, 2),
                        List.of(1, 2));
        for (List<Integer> lostSeeds : losses) {
            for (long downMs : new long[] {0, 300, 2_500}) {
                VirtualCluster cluster =
                        VirtualCluster.builder()
                                .randomSeed(RANDOM_SEED)
                                .nodes(8)
                                .toleratedFailures(2)
                                .start();
                lostSeeds.forEach(seed -> cluster.node(seed).kill());
                cluster.clock.run(downMs);
                lostSeeds.forEach(seed -> cluster.node(seed).start(false));
                cluster.clock.run(STARTUP_MS);
                assertNotNull(cluster.primary(), lostSeeds + " down for " + downMs);
                commitChange(cluster);
                assertRecoversWithoutLoss(cluster);
            }
        }
    }

    @Test
    void restartedSeedCannotReplaceAMemberThatMayKnowOfAnInstalledView() {
        VirtualCluster cluster = VirtualCluster.builder().randomSeed(RANDOM_SEED).nodes(3).start();
        cluster.isolate(cluster.node(2).address);
        cluster.clock.run(STARTUP_MS);
        commitChange(cluster);
        VirtualNode primary = cluster.primary();
        VirtualNode backup = cluster.node(primary == cluster.node(0) ? 1 : 0);
        primary.killAndWipe();
        backup.kill();
        cluster.network.heal();
        primary.start(false);
        cluster.clock.run(STARTUP_MS);
        assertNull(cluster.primary());
        assertRecoversWithoutLoss(cluster);
    }
}
