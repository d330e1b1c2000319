package myrtleladder.controlplane.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import myrtleladder.replication.Replica;
import org.junit.jupiter.api.Test;

/** What operators of such systems meet, brought about one by one. */
class FaultScenarioTest {
    private static final long CATCH_UP = 4_000;
    private static final long ACKNOWLEDGED_WITHIN = 4_000;
    private static final long CONTACT = 3_000;
    private static final long RECOVERED_WITHIN = 12_000;

    private static SimulatedCluster started(long seed, int size, int tolerated) {
        SimulatedCluster model = new SimulatedCluster(seed, size, tolerated, CATCH_UP, null);
        model.begin();
        model.clock.run(2_000);
        assertNotNull(model.leader());
        return model;
    }

    private static void expectSound(SimulatedCluster model, String what) {
        model.expectAcknowledgement(RECOVERED_WITHIN, what);
        model.expectWhole(what);
        assertEquals(List.of(), model.history.faults(), what);
    }

    private static List<SimulatedNode> nodes(SimulatedCluster model) {
        return new ArrayList<>(model.listedNodes());
    }

    // ---- 1. cut off for twenty seconds
    // -------------------------------------------------------------

    @Test
    void aLeaderThatIsCutOffShowsConfirmsAndRefusesNothingAndFollowsOnceItIsBack() {
        for (int size : new int[] {3, 4, 5, 8}) {
            SimulatedCluster model = started(size, size, size >= 5 ? 2 : 1);
            SimulatedNode leader = model.leader();
            for (SimulatedNode other : nodes(model)) {
                if (other != leader) {
                    model.network.cut(leader.address, other.address);
                }
            }
            model.clock.run(CONTACT);
            model.expectAcknowledgement(ACKNOWLEDGED_WITHIN, "beside the one that is cut off");
            model.clock.run(20_000 - CONTACT);
            assertFalse(leader.leads());
            assertEquals(null, leader.replica().primary());
            model.mend();
            model.clock.run(CATCH_UP);
            expectSound(model, "after the cut of " + size);
        }
    }

    @Test
    void inHalvesTheSmallerOrNoSideDecides() {
        for (int size : new int[] {3, 4, 5, 8}) {
            SimulatedCluster model = started(size, size, size >= 5 ? 2 : 1);
            List<SimulatedNode> all = nodes(model);
            List<SimulatedNode> small = all.subList(0, size / 2);
            for (SimulatedNode one : small) {
                for (SimulatedNode other : all.subList(size / 2, size)) {
                    model.network.cut(one.address, other.address);
                }
            }
            model.clock.run(8_000);
            for (SimulatedNode one : small) {
                assertFalse(one.leads(), one.toString());
            }
            model.mend();
            model.clock.run(CATCH_UP);
            expectSound(model, "after the halves of " + size);
        }
    }

    @Test
    void aLeaderThatHearsButIsNotHeardAndTheOtherWayRoundIsFollowedByAnother() {
        for (boolean hears : new boolean[] {true, false}) {
            SimulatedCluster model = started(11, 3, 1);
            SimulatedNode leader = model.leader();
            for (SimulatedNode other : nodes(model)) {
                if (other != leader && hears) {
                    model.network.cutOneWay(leader.address, other.address);
                } else if (other != leader) {
                    model.network.cutOneWay(other.address, leader.address);
                }
            }
            model.clock.run(CONTACT);
            model.expectAcknowledgement(ACKNOWLEDGED_WITHIN, "beside the one-way cut");
            assertTrue(model.leader() != leader);
            model.mend();
            model.clock.run(CATCH_UP);
            expectSound(model, "after the one-way cut");
        }
    }

    // ---- 2. two operators
    // --------------------------------------------------------------------------

    @Test
    void operatorsWhoRaceAndLoseAcknowledgementsAreNeverBothConfirmedNorRefusedWhatHolds() {
        for (long seed = 0; seed < 20; seed++) {
            SimulatedCluster model = started(seed, 3 + (int) (seed % 2), 1);
            model.operators.forEach(o -> o.loses(0.7));
            for (int round = 0; round < 4; round++) {
                SimulatedNode leader = model.leader();
                model.awaitPromise(2_000);
                if (leader != null) {
                    leader.kill();
                }
                model.clock.run(1_500);
                model.mend();
                model.clock.run(1_500);
            }
            model.operators.forEach(o -> o.loses(0));
            expectSound(model, "after races of seed " + seed);
        }
    }

    /** The status that a node's answer to an order has, 0 without an answer. */
    private static int statusOf(SimulatedCluster model, SimulatedNode node, OperatorChange order) {
        int[] status = {-1};
        new ExternalClient(model, "third")
                .call(
                        node,
                        "PUT",
                        "/config",
                        order.match(),
                        order.body(),
                        answer -> status[0] = answer == null ? 0 : answer.status());
        while (status[0] < 0) {
            model.clock.run(10);
        }
        return status[0];
    }

    private static OperatorChange acknowledgedOrder(SimulatedCluster model) {
        for (int i = 0; i < 200; i++) {
            long base = model.history.newest();
            OperatorChange order = new OperatorChange("third-" + i, base, base + 1);
            model.history.ordered(order);
            if (statusOf(model, model.leader(), order) == 200) {
                model.history.acknowledged(order, model.clock.now());
                return order;
            }
        }
        throw new AssertionError("no order of a third operator is taken");
    }

    private static void expectKnownEverywhere(
            SimulatedCluster model, OperatorChange order, String when) {
        for (SimulatedNode node : nodes(model)) {
            assertEquals(200, statusOf(model, node, order), node.address + " " + when);
        }
    }

    @Test
    void anOrderIsKnownAtAnyNodeAfterANewViewLaterChangesAndARestartOfAll() {
        for (int size : new int[] {3, 8}) {
            SimulatedCluster model = started(size, size, size == 8 ? 2 : 1);
            OperatorChange order = acknowledgedOrder(model);
            expectKnownEverywhere(model, order, "at once");
            model.leader().kill();
            model.clock.run(CONTACT);
            model.mend();
            model.clock.run(CATCH_UP);
            expectKnownEverywhere(model, order, "after a new view");
            for (int i = 0; i < 100; i++) {
                model.awaitPromise(2_000);
            }
            expectKnownEverywhere(model, order, "after later changes");
            nodes(model).forEach(SimulatedNode::powerOff);
            model.clock.run(500);
            model.mend();
            model.clock.run(CATCH_UP);
            expectKnownEverywhere(model, order, "after a restart of all");
            OperatorChange other =
                    new OperatorChange(order.name(), order.match() + 1, order.generation());
            int status = statusOf(model, model.leader(), other);
            assertTrue(status == 412 || status == 400, "another If-Match: " + status);
            expectSound(model, "after a known order of " + size);
        }
    }

    // ---- 3. a second loss after a repair
    // -----------------------------------------------------------

    @Test
    void afterAReplacementAtANewAddressAnyOtherDiskMayBeLostOnceItHasCaughtUp() {
        for (int gone = 0; gone < 3; gone++) {
            for (int wiped = 0; wiped < 3; wiped++) {
                for (long away : new long[] {50, 6_000}) {
                    SimulatedCluster model = started(gone * 3 + wiped, 3, 1);
                    model.remove(nodes(model).get(gone));
                    model.clock.run(1_000);
                    model.addMachine().start(false);
                    model.clock.run(CATCH_UP);
                    nodes(model).get(wiped).wipe();
                    model.clock.run(away);
                    if (away > CONTACT) {
                        model.expectAcknowledgement(ACKNOWLEDGED_WITHIN, "while it is away");
                    }
                    model.mend();
                    model.clock.run(CATCH_UP);
                    expectSound(model, gone + " replaced, then " + wiped + " wiped");
                }
            }
        }
    }

    @Test
    void onceALeaverIsGoneAnyOtherDiskMayBeLostAtOnce() {
        for (int leaver = 0; leaver < 3; leaver++) {
            for (long pause : new long[] {0, 100, 1_500, 3_000, 6_000}) {
                SimulatedCluster model = started(leaver * 10 + pause, 3, 1);
                SimulatedNode leaves = nodes(model).get(leaver);
                model.addMachine().start(false);
                model.clock.run(CATCH_UP);
                boolean[] ended = {false};
                leaves.terminate(
                        () -> {
                            model.remove(leaves);
                            ended[0] = true;
                        });
                model.clock.run(2_000);
                assertTrue(ended[0], "a successor stands, so nothing is to be waited for");
                model.clock.run(pause);
                SimulatedNode leader = model.leader();
                assertNotNull(leader);
                leader.wipe();
                model.clock.run(CONTACT);
                model.expectAcknowledgement(ACKNOWLEDGED_WITHIN, "after the second loss");
                model.mend();
                model.clock.run(CATCH_UP);
                expectSound(model, leaver + " left, the leader wiped after " + pause);
            }
        }
    }

    @Test
    void aLeaverWithoutSuccessorHandsItsCopyOverAndEndsInTime() {
        SimulatedCluster model = started(3, 3, 1);
        SimulatedNode leader = model.leader();
        boolean[] ended = {false};
        leader.terminate(() -> ended[0] = true);
        model.clock.run(1_000);
        assertFalse(ended[0]);
        SimulatedNode next = model.leader();
        assertTrue(next != null && next != leader);
        assertFalse(next.replica().view().replicas.contains(leader.replica().self()));
        model.clock.run(4_000);
        assertTrue(ended[0]);
        model.mend();
        model.clock.run(CATCH_UP);
        expectSound(model, "after the restart");
    }

    @Test
    void allThatAreAskedToEndAtOnceEndInTimeAndComeBackWithAllThatHolds() {
        for (int size : new int[] {3, 4, 8}) {
            SimulatedCluster model = started(size, size, size == 8 ? 2 : 1);
            int[] ended = {0};
            nodes(model).forEach(n -> n.terminate(() -> ended[0]++));
            model.clock.run(5_500);
            assertEquals(size, ended[0]);
            model.mend();
            model.clock.run(CATCH_UP);
            expectSound(model, "after the stop of all " + size);
        }
    }

    @Test
    void aLivingMemberThatWasDroppedIsAdmittedAgain() {
        SimulatedCluster model = started(5, 4, 1);
        SimulatedNode leader = model.leader();
        SimulatedNode other =
                nodes(model).stream()
                        .filter(n -> !leader.replica().view().replicas.contains(n.replica().self()))
                        .findFirst()
                        .orElseThrow();
        for (SimulatedNode node : nodes(model)) {
            if (node != other) {
                model.network.cut(node.address, other.address);
            }
        }
        model.clock.run(4_000);
        assertFalse(model.leader().group().contains(other.replica().self()));
        model.mend();
        model.clock.run(2_500);
        assertTrue(model.leader().group().contains(other.replica().self()));
        assertEquals(Replica.State.FOLLOWER, other.replica().state());
        expectSound(model, "after the drop");
    }

    @Test
    void aJoinerThatDiesWhileItJoinsHoldsNobodyUp() {
        for (long after = 0; after < 700; after += 50) {
            SimulatedCluster model = started(after, 3, 1);
            SimulatedNode joiner = model.addMachine();
            long epoch = model.leader().replica().epoch();
            joiner.start(false);
            model.clock.run(after);
            model.remove(joiner);
            model.clock.run(CONTACT);
            model.expectAcknowledgement(ACKNOWLEDGED_WITHIN, "after the joiner's end");
            long views = model.leader().replica().epoch() - epoch;
            assertTrue(views <= 5, views + " views for a joiner that ended after " + after);
            expectSound(model, "a joiner that ends after " + after);
        }
    }

    @Test
    void oneMachineThatFlapsCostsTheOthersNothing() {
        SimulatedCluster model = started(17, 4, 1);
        SimulatedNode flaps = nodes(model).get(3);
        for (int i = 0; i < 6; i++) {
            flaps.kill();
            model.clock.run(900 + i * 400);
            model.mend();
            model.clock.run(1_200);
            model.expectAcknowledgement(ACKNOWLEDGED_WITHIN, "beside the flapping machine");
        }
        model.clock.run(CATCH_UP);
        expectSound(model, "after the flapping");
    }

    // ---- 4. away for hundreds of changes
    // -----------------------------------------------------------

    @Test
    void aMemberThatWasAwayForHundredsOfChangesIsWholeWithinTheCatchUpTime() {
        for (int away = 0; away < 3; away++) {
            SimulatedCluster model = started(away, 3, 1);
            SimulatedNode node = nodes(model).get(away);
            node.kill();
            for (int i = 0; i < 300; i++) {
                model.awaitPromise(4_000);
            }
            assertTrue(model.history.newest() > 200, "generation " + model.history.newest());
            model.mend();
            model.clock.run(CATCH_UP);
            SimulatedNode leader = model.leader();
            leader.wipe();
            model.clock.run(CONTACT);
            model.expectAcknowledgement(ACKNOWLEDGED_WITHIN, "after the next loss");
            model.mend();
            model.clock.run(CATCH_UP);
            expectSound(model, "after 300 changes without " + away);
        }
    }

    @Test
    void withOtherSeedsAndTheFirstOnesCutOffAMachineIsAdmitted() {
        SimulatedCluster model = started(23, 5, 2);
        model.exchangeSeeds();
        SimulatedNode first = nodes(model).get(0);
        for (SimulatedNode other : nodes(model)) {
            if (other != first) {
                model.network.cut(first.address, other.address);
            }
        }
        model.clock.run(CONTACT);
        SimulatedNode added = model.addMachine();
        added.start(false);
        model.clock.run(CATCH_UP);
        assertTrue(model.leader().group().contains(added.replica().self()));
        model.mend();
        model.clock.run(CATCH_UP);
        expectSound(model, "after other seeds");
    }
}
