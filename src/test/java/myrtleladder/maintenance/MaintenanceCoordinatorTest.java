package myrtleladder.maintenance;

import static myrtleladder.gossip.SimulatedGossipCluster.names;
import static myrtleladder.maintenance.SimulatedMaintenanceCluster.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import myrtleladder.cluster.FaultPointInjector.Kind;
import myrtleladder.cluster.FaultPointInjector.ScheduledFault;
import myrtleladder.consensus.FencingToken;
import myrtleladder.consensus.ProcessId;
import myrtleladder.testbed.fault.Fault;
import myrtleladder.testbed.fault.FaultPlan;
import myrtleladder.testbed.fault.LinkFault;
import myrtleladder.testbed.simulation.ScheduleExplorer;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Work on machines in virtual time with faults between the processes that agree on it. */
class MaintenanceCoordinatorTest {
    /** Far enough after the founding that permits are given. */
    private static SimulatedMaintenanceCluster settled(long seed, int members, int machines) {
        SimulatedMaintenanceCluster fleet =
                new SimulatedMaintenanceCluster(seed, members, machines).start(members);
        fleet.run(16 * SECOND);
        return fleet;
    }

    private static void calm(SimulatedMaintenanceCluster fleet) {
        fleet.world.bring(new Fault.HealAll());
        fleet.nodes.keySet().stream()
                .filter(fleet.world::alive)
                .forEach(p -> fleet.world.bring(new Fault.Resume(p)));
        fleet.nodes.keySet().stream()
                .filter(p -> !fleet.world.alive(p))
                .toList()
                .forEach(p -> fleet.world.bring(new Fault.Restart(p)));
    }

    @Test
    void aPlanOfAllMachinesIsWorkedOffWhileTheOthersServe() {
        SimulatedMaintenanceCluster fleet = settled(1, 5, 12);
        fleet.hand("m3", fleet.terms("patch", 12, 2));
        fleet.run(60 * SECOND);
        assertNull(fleet.unfinished());
        assertEquals(List.of(), fleet.broken);
        assertEquals(12, fleet.permits);
        assertEquals(0, fleet.starved);
    }

    private static Optional<String> play(long seed, FaultPlan plan) {
        SimulatedMaintenanceCluster fleet = settled(seed, 5, 8);
        fleet.hand("m" + seed % 5, fleet.terms("patch", 8, 2));
        fleet.world.follow(
                new FaultPlan(
                        plan.steps().stream()
                                .filter(s -> !(s.fault() instanceof Fault.StepClock))
                                .toList()));
        fleet.run(30 * SECOND);
        calm(fleet);
        fleet.run(80 * SECOND);
        return fleet.broken.isEmpty()
                ? Optional.ofNullable(fleet.unfinished())
                : Optional.of(fleet.broken.get(0));
    }

    @Test
    void underDrawnFaultsNothingIsSentToAMachineThatIsOutAndAllComesToItsEnd() {
        var found =
                ScheduleExplorer.explore(
                        1, 12, names(5), 20, 30 * SECOND, MaintenanceCoordinatorTest::play);
        assertTrue(found.isEmpty(), () -> found.orElseThrow().toString());
    }

    @Tag("long")
    @Test
    void thousandsOfDrawnFaults() {
        long first = Long.getLong("first", 1_000);
        int plays = Integer.getInteger("plays", 2_000);
        Optional<ScheduleExplorer.Finding> found =
                LongStream.range(first, first + plays)
                        .parallel()
                        .mapToObj(
                                seed ->
                                        ScheduleExplorer.explore(
                                                seed,
                                                1,
                                                names(5),
                                                20,
                                                30 * SECOND,
                                                MaintenanceCoordinatorTest::play))
                        .flatMap(Optional::stream)
                        .findAny();
        System.out.println(
                "work, drawn faults | "
                        + plays
                        + " | "
                        + found.map(ScheduleExplorer.Finding::toString).orElse("held")
                        + " |");
        assertTrue(found.isEmpty());
    }

    @ParameterizedTest
    @EnumSource(MaintenanceFaultPoint.class)
    void aFaultAtAnyPointBreaksNothing(MaintenanceFaultPoint point) {
        for (Kind kind : EnumSet.complementOf(EnumSet.of(Kind.SEND_ERROR))) {
            ScheduledFault<MaintenanceFaultPoint> at = new ScheduledFault<>(point, 1, kind);
            SimulatedMaintenanceCluster fleet = settled(3, 5, 4);
            fleet.faults.schedule(List.of(at));
            fleet.hand("m3", fleet.terms("patch", 4, 2));
            fleet.run(30 * SECOND);
            calm(fleet);
            fleet.run(40 * SECOND);
            assertEquals(List.of(), fleet.broken, at::toString);
            assertNull(fleet.unfinished(), at::toString);
            assertEquals(1, fleet.faults.injectedCount, at::toString);
        }
    }

    @Test
    void theListOfPointsIsTheOneInTheDocuments() throws Exception {
        assertEquals(
                Arrays.stream(MaintenanceFaultPoint.values())
                        .map(p -> "W" + (p.ordinal() + 1) + " " + p)
                        .toList(),
                Files.readString(Path.of("docs", "faults.md"))
                        .lines()
                        .filter(l -> l.startsWith("| W"))
                        .map(l -> l.split("\\|"))
                        .map(c -> c[1].trim() + " " + c[2].trim())
                        .toList());
    }

    /** A permit once more than half have said to keep away. */
    private static final class OfMost extends MaintenanceStateMachine {
        @Override
        List<ProcessId> sendersToDrain() {
            return present().stream()
                    .sorted(Comparator.comparing(ProcessId::name))
                    .limit(present().size() / 2 + 1)
                    .toList();
        }
    }

    /** Who is gone can't send. */
    private static final class WithoutGhosts extends MaintenanceStateMachine {
        @Override
        public List<ProcessId> sendersWithFallback(MaintenanceJob job) {
            return List.of();
        }
    }

    /**
     * What a plan allows is looked at when it is a machine's turn, and not when it gets its permit.
     */
    private static final class CheckedWhenAsked extends MaintenanceStateMachine {
        @Override
        String permitViolation(MaintenanceJob job, List<String> down) {
            return null;
        }
    }

    private static SimulatedMaintenanceCluster settled(
            boolean mutant, Supplier<MaintenanceStateMachine> agenda) {
        SimulatedMaintenanceCluster fleet = new SimulatedMaintenanceCluster(4, 5, 8);
        fleet.agendas = mutant ? agenda : MaintenanceStateMachine::new;
        fleet.start(5).run(16 * SECOND);
        return fleet;
    }

    private static String follower(SimulatedMaintenanceCluster fleet) {
        return fleet.living().stream()
                .filter(n -> !fleet.nodes.get(n).agreement.isLeader())
                .reduce((a, b) -> b)
                .orElseThrow();
    }

    private static List<String> others(SimulatedMaintenanceCluster fleet, String name) {
        return fleet.living().stream().filter(n -> !n.equals(name)).toList();
    }

    private static void link(SimulatedMaintenanceCluster fleet, String one, LinkFault fault) {
        others(fleet, one)
                .forEach(
                        n -> {
                            fleet.world.bring(new Fault.Link(one, n, fault));
                            fleet.world.bring(new Fault.Link(n, one, fault));
                        });
    }

    /** One hears all half a second late: nothing begins before it has said to keep away. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aPermitWaitsForASlowPeer(boolean mutant) {
        SimulatedMaintenanceCluster fleet = settled(mutant, OfMost::new);
        String slow = follower(fleet);
        link(fleet, slow, new LinkFault(false, 400_000, 100_000, 0, 0));
        fleet.hand(others(fleet, slow).get(0), fleet.terms("patch", 8, 2));
        fleet.run(40 * SECOND);
        assertEquals(mutant, !fleet.broken.isEmpty(), fleet.broken::toString);
    }

    /**
     * One is cut off before there is a plan, and serves on: nothing of the plan begins until it is
     * back.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aPlanWaitsForOneThatIsCutOffAndDoesNotKnowOfIt(boolean mutant) {
        SimulatedMaintenanceCluster fleet = settled(mutant, WithoutGhosts::new);
        String cut = follower(fleet);
        link(fleet, cut, LinkFault.CUT);
        fleet.run(12 * SECOND);
        String asked = others(fleet, cut).get(0);
        fleet.hand(asked, fleet.terms("patch", 8, 2));
        fleet.run(20 * SECOND);
        assertEquals(mutant, !fleet.broken.isEmpty(), fleet.broken::toString);
        if (!mutant) {
            SimulatedMaintenanceCluster.Node node = fleet.nodes.get(asked);
            assertTrue(node.work.waitReason(node.agenda.job("u0")).contains(cut));
            calm(fleet);
            fleet.run(40 * SECOND);
            assertNull(fleet.unfinished());
            assertEquals(List.of(), fleet.broken);
            assertEquals(0, fleet.starved);
        }
    }

    /** Leave that comes late is for as much less. The mutant counts it from when it comes. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void leaveCountsFromWhenItWasAskedFor(boolean mutant) {
        SimulatedMaintenanceCluster fleet = settled(false, MaintenanceStateMachine::new);
        fleet.leaveFromReceipt = mutant;
        String cut = follower(fleet);
        others(fleet, cut)
                .forEach(
                        n ->
                                fleet.world.bring(
                                        new Fault.Link(
                                                n, cut, new LinkFault(false, 1_400_000, 0, 0, 0))));
        fleet.run(SECOND / 2);
        link(fleet, cut, LinkFault.CUT);
        fleet.run(1_600_000);
        SimulatedMaintenanceCluster.Node node = fleet.nodes.get(cut);
        assertEquals(mutant, node.work.hasLease(node.now));
    }

    /** A machine fails by itself while another one drains: that one's turn is put off. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whatAPlanAllowsIsJudgedAnewAtThePermit(boolean mutant) {
        SimulatedMaintenanceCluster fleet = settled(mutant, CheckedWhenAsked::new);
        String slow = follower(fleet);
        link(fleet, slow, new LinkFault(false, 400_000, 0, 0, 0));
        String asked = others(fleet, slow).get(0);
        fleet.hand(asked, fleet.terms("patch", 8, 1));
        while (fleet.nodes.get(asked).agenda.jobs().stream()
                .noneMatch(j -> j.state() == JobState.DRAINING)) {
            fleet.run(10_000);
        }
        fleet.failing.add("one that is not on the agenda");
        fleet.run(8 * SECOND);
        assertEquals(mutant, !fleet.broken.isEmpty(), fleet.broken::toString);
        assertEquals(mutant, fleet.permits > 0);
        fleet.failing.clear();
        calm(fleet);
        fleet.run(60 * SECOND);
        assertNull(fleet.unfinished());
    }

    /** A worker that reports without a pause keeps nothing waiting: it is heard once in a while. */
    @Test
    void whoReportsAgainAndAgainKeepsNothingWaiting() {
        SimulatedMaintenanceCluster fleet = settled(7, 5, 4);
        fleet.hand("m1", fleet.terms("patch", 4, 1));
        SimulatedMaintenanceCluster.Node node = fleet.nodes.get("m1");
        long until = fleet.world.now() + 20 * SECOND;
        while (fleet.world.now() < until) {
            fleet.run(2_000);
            node.work.propose(node.now, OperatorCommand.done("u0", new FencingToken(1, 1)));
        }
        fleet.run(2 * SECOND);
        assertNull(fleet.unfinished());
        assertTrue(
                node.agenda.ignored() < 40, () -> node.agenda.ignored() + " steps without effect");
    }

    /**
     * Seven in ten are killed in the midst of it; what those know who live goes on, and nothing
     * twice.
     */
    @Test
    void whenMostAreKilledAtOnceNothingIsGrantedTwiceAndItGoesOn() {
        SimulatedMaintenanceCluster fleet = settled(6, 10, 12);
        fleet.hand("m9", fleet.terms("patch", 12, 3));
        fleet.run(3 * SECOND);
        List<String> most = names(7);
        most.forEach(n -> fleet.world.bring(new Fault.Kill(n)));
        fleet.run(2 * SECOND);
        most.forEach(n -> fleet.world.bring(new Fault.Restart(n)));
        fleet.run(90 * SECOND);
        assertEquals(List.of(), fleet.broken);
        assertNull(fleet.unfinished());
    }
}
