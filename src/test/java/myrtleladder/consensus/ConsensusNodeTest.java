package myrtleladder.consensus;

import static myrtleladder.consensus.SimulatedConsensusCluster.SECOND;
import static myrtleladder.gossip.SimulatedGossipCluster.names;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import myrtleladder.cluster.FaultPointInjector.Kind;
import myrtleladder.cluster.FaultPointInjector.ScheduledFault;
import myrtleladder.testbed.fault.Fault;
import myrtleladder.testbed.fault.FaultPlan;
import myrtleladder.testbed.simulation.ScheduleExplorer;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Agreements in virtual time with faults between them: one history, one view, and on by itself. */
class ConsensusNodeTest {
    private static final ConsensusSettings FIVE = ConsensusSettings.of("dhaka", names(5));
    private static final ConsensusSettings THREE_OF_SIX = ConsensusSettings.of("dhaka", names(3));

    /** Keeps so little that whoever was away needs a snapshot. */
    private static final ConsensusSettings SHORT =
            new ConsensusSettings(
                    "dhaka",
                    names(5),
                    FIVE.heartbeatIntervalUs(),
                    FIVE.electionTimeoutUs(),
                    FIVE.viewStabilityUs(),
                    FIVE.bootstrapDelayUs(),
                    8,
                    FIVE.maxDatagramBytes());

    private static SimulatedConsensusCluster settled(
            long seed, ConsensusSettings settings, int count) {
        SimulatedConsensusCluster fleet = new SimulatedConsensusCluster(seed, settings).with(count);
        fleet.run(12 * SECOND);
        assertNull(quiet(fleet));
        return fleet;
    }

    /** Lets what is proposed be decided; what is wrong then, if anything. */
    private static String quiet(SimulatedConsensusCluster fleet) {
        fleet.nodes.values().forEach(n -> n.working = false);
        fleet.run(3 * SECOND);
        fleet.nodes.values().forEach(n -> n.working = true);
        return fleet.broken.isEmpty() ? fleet.disagreement() : fleet.broken.get(0);
    }

    private static Optional<String> end(SimulatedConsensusCluster fleet) {
        fleet.calm();
        names(fleet.nodes.size()).stream()
                .filter(n -> !fleet.world.alive(n))
                .forEach(n -> fleet.world.bring(new Fault.Restart(n)));
        fleet.run(30 * SECOND);
        return Optional.ofNullable(quiet(fleet));
    }

    /**
     * The wall clock stays as it is: tokens grow by it when nobody is left who knows the last one.
     */
    private static Optional<String> play(
            long seed, FaultPlan plan, ConsensusSettings settings, int count) {
        SimulatedConsensusCluster fleet = new SimulatedConsensusCluster(seed, settings).with(count);
        fleet.run(8 * SECOND);
        fleet.world.follow(
                new FaultPlan(
                        plan.steps().stream()
                                .filter(s -> !(s.fault() instanceof Fault.StepClock))
                                .toList()));
        fleet.run(30 * SECOND);
        return end(fleet);
    }

    private static Optional<ScheduleExplorer.Finding> explore(long first, int plays, String who) {
        int count = who.equals("three of six") ? 6 : 5;
        return ScheduleExplorer.explore(
                first,
                plays,
                names(count),
                25,
                30 * SECOND,
                (seed, plan) -> play(seed, plan, settings(who), count));
    }

    @ParameterizedTest
    @CsvSource({"five, 1, 15", "three of six, 1, 10", "short log, 101, 10"})
    void underDrawnFaultsThereIsOneHistoryAndAfterThemOneView(String who, long first, int plays) {
        var found = explore(first, plays, who);
        assertTrue(found.isEmpty(), () -> found.orElseThrow().toString());
    }

    @Tag("long")
    @ParameterizedTest
    @CsvSource({"five", "three of six", "short log"})
    void thousandsOfDrawnFaults(String who) {
        int plays = Integer.getInteger("plays", 1_000);
        var found = explore(Integer.getInteger("first", 1_000), plays, who);
        System.out.println(
                "agreement drawn | "
                        + who
                        + " | "
                        + plays
                        + " | "
                        + (found.isEmpty() ? "held" : found.get())
                        + " |");
        assertTrue(found.isEmpty());
    }

    private static ConsensusSettings settings(String who) {
        return who.equals("five") ? FIVE : who.equals("short log") ? SHORT : THREE_OF_SIX;
    }

    /**
     * All that an agreement does: a leader dies and comes back, a member stands still for long, one
     * goes.
     */
    private static SimulatedConsensusCluster busy(List<ScheduledFault<FaultPoint>> ats) {
        SimulatedConsensusCluster fleet = new SimulatedConsensusCluster(1, SHORT).with(6);
        fleet.faults.schedule(ats);
        fleet.run(9 * SECOND);
        String leader =
                fleet.living().stream()
                        .filter(n -> fleet.nodes.get(n).agreement.isLeader())
                        .findFirst()
                        .orElse("m0");
        if (fleet.world.alive(leader)) {
            fleet.world.bring(new Fault.Kill(leader));
        }
        fleet.run(8 * SECOND);
        fleet.world.bring(new Fault.Restart(leader));
        fleet.run(8 * SECOND);
        return fleet;
    }

    @Test
    void aBusyFleetPassesEachPoint() {
        SimulatedConsensusCluster fleet = busy(List.of());
        assertEquals(Optional.empty(), end(fleet));
        assertEquals(EnumSet.allOf(FaultPoint.class), fleet.faults.passCounts.keySet());
    }

    /** The first pass of most lies in a founding. */
    @ParameterizedTest
    @EnumSource(FaultPoint.class)
    void aFaultAtAnyPointBreaksNothing(FaultPoint point) {
        failAt(point, 1);
    }

    /** The last pass of most lies in the return of a member. */
    @Tag("long")
    @ParameterizedTest
    @EnumSource(FaultPoint.class)
    void aFaultAtTheLastPassOfAnyPointBreaksNothing(FaultPoint point) {
        failAt(point, busy(List.of()).faults.passCounts.get(point));
    }

    private static void failAt(FaultPoint point, int pass) {
        for (Kind kind : Kind.values()) {
            ScheduledFault<FaultPoint> at = new ScheduledFault<>(point, pass, kind);
            SimulatedConsensusCluster fleet = busy(List.of(at));
            assertEquals(Optional.empty(), end(fleet), at::toString);
            assertEquals(1, fleet.faults.injectedCount, at::toString);
        }
    }

    /** Two faults, one after the other, at points and passes that are drawn. */
    private static Optional<String> pair(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<ScheduledFault<FaultPoint>> ats = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            ats.add(
                    new ScheduledFault<>(
                            FaultPoint.values()[random.nextInt(FaultPoint.values().length)],
                            1 + (int) Math.pow(40, random.nextDouble()),
                            Kind.values()[random.nextInt(Kind.values().length)]));
        }
        SimulatedConsensusCluster fleet = busy(ats);
        fleet.faults.schedule(
                List.of()); // what has not come by now would come too late to be over in the end
        return end(fleet)
                .map(
                        wrong ->
                                "seed "
                                        + seed
                                        + ", "
                                        + ats
                                        + ", "
                                        + fleet.faults.injectedCount
                                        + " came: "
                                        + wrong);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 101})
    void pairsOfFaultsAtDrawnPointsBreakNothing(long first) {
        assertEquals(
                Optional.empty(),
                LongStream.range(first, first + 10)
                        .mapToObj(ConsensusNodeTest::pair)
                        .flatMap(Optional::stream)
                        .findFirst());
    }

    @Tag("long")
    @Test
    void thousandsOfPairsOfFaults() {
        long first = Long.getLong("first", 1_000);
        int plays = Integer.getInteger("plays", 20_000);
        Optional<String> found =
                LongStream.range(first, first + plays)
                        .parallel()
                        .mapToObj(ConsensusNodeTest::pair)
                        .flatMap(Optional::stream)
                        .findAny();
        System.out.println(
                "agreement pairs of faults | " + plays + " | " + found.orElse("held") + " |");
        assertEquals(Optional.empty(), found);
    }

    @Test
    void theListOfPointsIsTheOneInTheDocuments() throws Exception {
        List<String> listed =
                Files.readString(Path.of("docs", "faults.md"))
                        .lines()
                        .filter(l -> l.startsWith("| A"))
                        .map(l -> l.split("\\|"))
                        .map(cells -> cells[1].trim() + " " + cells[2].trim())
                        .toList();
        assertEquals(
                Arrays.stream(FaultPoint.values())
                        .map(p -> "A" + (p.ordinal() + 1) + " " + p)
                        .toList(),
                listed);
    }

    @Test
    void whenTheLeaderDiesDecreesGoOnWithinThreeSeconds() {
        for (long seed = 1; seed <= 5; seed++) {
            SimulatedConsensusCluster fleet = settled(seed, FIVE, 5);
            String leader = fleet.nodes.get("m0").agreement.leader().name();
            fleet.world.bring(new Fault.Kill(leader));
            long before = fleet.nodes.get(fleet.living().get(0)).agreement.lastApplied();
            fleet.run(3 * SECOND);
            for (String n : fleet.living()) {
                assertTrue(
                        fleet.nodes.get(n).agreement.lastApplied() > before + 1,
                        "seed " + seed + " " + n);
            }
        }
    }

    /**
     * The smaller part knows that it can't go on; it decides nothing and founds nothing, however
     * long.
     */
    @Test
    void inAPartitionTheLargerPartGoesOnAndTheSmallerOneKnows() {
        SimulatedConsensusCluster fleet = settled(2, FIVE, 5);
        fleet.cut(List.of("m0", "m1"), List.of("m2", "m3", "m4"), true);
        fleet.run(5 * SECOND);
        long small = fleet.nodes.get("m0").agreement.lastApplied();
        fleet.run(60 * SECOND);
        for (String n : List.of("m0", "m1")) {
            assertFalse(fleet.nodes.get(n).agreement.hasQuorum(fleet.world.now()), n);
            assertEquals(small, fleet.nodes.get(n).agreement.lastApplied(), n);
        }
        assertTrue(fleet.nodes.get("m2").agreement.hasQuorum(fleet.world.now()));
        assertEquals(3, fleet.nodes.get("m2").agreement.view().startIds().size());
        fleet.calm();
        fleet.run(8 * SECOND);
        assertNull(quiet(fleet));
        assertEquals(1, fleet.foundings.size(), "nobody began anew");
    }

    /** In parts without a majority nothing is decided; healed, it goes on in the same history. */
    @Test
    void threePartsWithoutAMajorityWaitForEachOther() {
        SimulatedConsensusCluster fleet = settled(3, FIVE, 5);
        fleet.cut(List.of("m0", "m1"), List.of("m2", "m3", "m4"), true);
        fleet.cut(List.of("m2", "m3"), List.of("m4"), true);
        fleet.run(20 * SECOND);
        for (String n : fleet.living()) {
            assertFalse(fleet.nodes.get(n).agreement.hasQuorum(fleet.world.now()), n);
        }
        fleet.calm();
        fleet.run(5 * SECOND);
        assertNull(quiet(fleet));
        assertEquals(1, fleet.foundings.size());
    }

    /**
     * Two that were voted out and hear everybody again leave it to the three voters to elect a
     * leader.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 101, 201})
    void thoseVotedOutBeginNothingAnewWhileAMajorityOfVotersLives(long first) {
        for (long seed = first; seed < first + 20; seed++) {
            SimulatedConsensusCluster fleet = settled(seed, FIVE, 5);
            fleet.cut(List.of("m0", "m1"), List.of("m2", "m3", "m4"), true);
            fleet.run(8 * SECOND);
            fleet.nodes.values().forEach(n -> n.working = false);
            fleet.calm();
            fleet.run(2 * SECOND);
            for (String name : names(5)) {
                fleet.cut(
                        List.of(name),
                        names(5).stream().filter(n -> !n.equals(name)).toList(),
                        true);
            }
            fleet.run(5 * SECOND);
            fleet.calm();
            fleet.run(15 * SECOND);
            assertNull(quiet(fleet));
            assertEquals(1, fleet.foundings.size(), "seed " + seed);
        }
    }

    /**
     * A leader that hears and is not heard is replaced; one that is heard and does not hear gives
     * up.
     */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void aLeaderBehindAOneWayCutIsReplaced(boolean outwards) {
        SimulatedConsensusCluster fleet = settled(4, FIVE, 5);
        String leader = fleet.nodes.get("m0").agreement.leader().name();
        List<String> others = names(5).stream().filter(n -> !n.equals(leader)).toList();
        fleet.cut(outwards ? List.of(leader) : others, outwards ? others : List.of(leader), false);
        fleet.run(5 * SECOND);
        assertFalse(fleet.nodes.get(leader).agreement.isLeader());
        for (String n : others) {
            assertTrue(fleet.nodes.get(n).agreement.hasQuorum(fleet.world.now()), n);
        }
    }

    /** Most end at once and come back as others: those who live bring along what was decided. */
    @Test
    void whenMostLivesEndAtOnceTheFleetGoesOnWithWhatTheOthersKnow() {
        SimulatedConsensusCluster fleet = settled(5, FIVE, 5);
        long before = fleet.nodes.get("m4").machine.digest;
        assertTrue(before != 0);
        long decided = fleet.nodes.get("m4").agreement.lastApplied();
        List.of("m0", "m1", "m2", "m3").forEach(n -> fleet.world.bring(new Fault.Kill(n)));
        fleet.run(20 * SECOND);
        assertEquals(1, fleet.foundings.size(), "a minority founded");
        List.of("m0", "m1", "m2", "m3").forEach(n -> fleet.world.bring(new Fault.Restart(n)));
        fleet.run(20 * SECOND);
        assertNull(quiet(fleet));
        assertEquals(2, fleet.foundings.size());
        assertTrue(fleet.nodes.get("m0").agreement.lastApplied() > decided, "the history goes on");
        assertEquals(List.of(), fleet.broken);
    }

    /** All end: what was decided is gone with them, and tokens go on growing. */
    @Test
    void whenAllLivesEndTheFleetBeginsAnewWithGreaterTokens() {
        SimulatedConsensusCluster fleet = settled(6, FIVE, 5);
        names(5).forEach(n -> fleet.world.bring(new Fault.Kill(n)));
        names(5).forEach(n -> fleet.world.bring(new Fault.Restart(n)));
        fleet.run(15 * SECOND);
        assertNull(quiet(fleet));
        assertTrue(fleet.foundings.get(1).view().epoch() > fleet.foundings.get(0).view().epoch());
    }

    /**
     * All are restarted, one after the other, each when the one before is taken in: no decree is
     * lost.
     */
    @Test
    void aRollingRestartLosesNoDecree() {
        SimulatedConsensusCluster fleet = settled(7, FIVE, 5);
        for (String n : names(5)) {
            fleet.world.bring(new Fault.Restart(n));
            fleet.run(10 * SECOND);
            assertTrue(fleet.nodes.get("m4").agreement.view().has(fleet.nodes.get(n).me), n);
        }
        assertNull(quiet(fleet));
        assertEquals(1, fleet.foundings.size());
    }

    /**
     * A process that garbles the places of its entries is refused by a reason, and no log takes
     * them in.
     */
    @Test
    void entriesThatDoNotFollowEachOtherAreRefused() {
        SimulatedConsensusCluster fleet = settled(8, FIVE, 5);
        long before = fleet.nodes.get("m0").agreement.lastApplied();
        fleet.says =
                m ->
                        m.withEntries(
                                m.entries().stream()
                                        .map(
                                                e ->
                                                        new LogEntry(
                                                                e.index() + 1,
                                                                e.term(),
                                                                e.kind(),
                                                                e.memberChanges(),
                                                                null,
                                                                e.proposer(),
                                                                e.sequence(),
                                                                e.command()))
                                        .toList(),
                                m.offset());
        fleet.run(5 * SECOND);
        for (String n : names(5)) {
            ConsensusNode its = fleet.nodes.get(n).agreement;
            assertEquals(before, its.lastApplied(), n);
            assertTrue(
                    its.isLeader() || its.droppedDatagrams().getOrDefault("malformed", 0L) > 0, n);
        }
        fleet.says = m -> m;
        fleet.run(3 * SECOND);
        assertNull(quiet(fleet));
    }

    @Test
    void aCommandThatFitsInNoDatagramIsRefusedBySize() {
        SimulatedConsensusCluster fleet = settled(8, FIVE, 5);
        assertTrue(
                assertThrows(
                                IllegalArgumentException.class,
                                () ->
                                        fleet.nodes
                                                .get("m0")
                                                .agreement
                                                .propose(fleet.world.now(), new byte[1_400]))
                        .getMessage()
                        .contains("1400 bytes"));
    }

    /**
     * Two of five have been restarted and one is cut off: four are here, and yet those taken in
     * that live are three as well, so nothing may begin anew. The mutant, in which all say that
     * they never had a vote, does so.
     */
    @ParameterizedTest
    @CsvSource({"false", "true"})
    void aMajorityOfNamesThatIsNoneOfNewLivesFoundsNothing(boolean mutant) {
        SimulatedConsensusCluster fleet = settled(9, FIVE, 5);
        if (mutant) {
            fleet.says =
                    m ->
                            m.kind() == MessageFrame.Kind.PRE_VOTE_RESPONSE
                                            || m.kind() == MessageFrame.Kind.VOTE_RESPONSE
                                    ? m.withFlags(m.isPositive(), false, true)
                                    : m;
        }
        fleet.cut(List.of("m3"), List.of("m0", "m1", "m2", "m4"), true);
        List.of("m0", "m1").forEach(n -> fleet.world.bring(new Fault.Restart(n)));
        fleet.run(20 * SECOND);
        assertEquals(mutant, fleet.foundings.size() > 1);
        fleet.calm();
        fleet.run(20 * SECOND);
        assertTrue(mutant || quiet(fleet) == null);
    }
}
