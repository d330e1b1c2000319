package myrtleladder.gossip;

import static myrtleladder.gossip.SimulatedGossipCluster.LAN_LINK;
import static myrtleladder.gossip.SimulatedGossipCluster.SECOND_US;
import static myrtleladder.gossip.SimulatedGossipCluster.names;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import myrtleladder.testbed.fault.Fault;
import myrtleladder.testbed.fault.FaultPlan;
import myrtleladder.testbed.fault.LinkFault;
import myrtleladder.testbed.simulation.ScheduleExplorer;
import org.junit.jupiter.api.Test;

/** Members in virtual time with faults between them: they find each other and agree. */
class MembershipTest {
    private static final GossipSettings FLEET = GossipSettings.of("dhaka");
    private static final List<String> SEEDS = List.of("m0", "m1", "m2");
    private static final LinkFault LOSSY = new LinkFault(false, 200, 20_000, 0.3, 0.1);

    private static SimulatedGossipCluster fleet(long seed, LinkFault links, int count) {
        SimulatedGossipCluster fleet = new SimulatedGossipCluster(seed, links, FLEET, SEEDS);
        names(count).forEach(fleet::add);
        return fleet;
    }

    /** Runs 30 s with random faults and 40 s without; returns what is violated after that. */
    private static Optional<String> runWithFaults(
            long seed,
            FaultPlan plan,
            UnaryOperator<byte[]> incoming,
            UnaryOperator<byte[]> outgoing) {
        SimulatedGossipCluster fleet =
                new SimulatedGossipCluster(seed, LAN_LINK, FLEET, SEEDS, incoming, outgoing);
        List<String> names = names(7);
        names.forEach(fleet::add);
        fleet.follow(plan);
        fleet.run(30 * SECOND_US);
        fleet.endAllFaults();
        fleet.run(40 * SECOND_US);
        return !fleet.violations.isEmpty()
                ? Optional.of(fleet.violations.get(0))
                : Optional.ofNullable(fleet.disagreement());
    }

    private static Optional<ScheduleExplorer.Finding> explore(
            int runs, UnaryOperator<byte[]> incoming, UnaryOperator<byte[]> outgoing) {
        return ScheduleExplorer.explore(
                1,
                runs,
                names(7),
                25,
                30 * SECOND_US,
                (seed, plan) -> runWithFaults(seed, plan, incoming, outgoing));
    }

    static Optional<ScheduleExplorer.Finding> explore(int runs) {
        return explore(runs, UnaryOperator.identity(), UnaryOperator.identity());
    }

    @Test
    void afterRandomFaultsAllMembersAgreeAndNoIncarnationDecreases() {
        Optional<ScheduleExplorer.Finding> found = explore(120);
        assertTrue(found.isEmpty(), () -> found.orElseThrow().toString());
    }

    /** Shows that the test before notices members that do not refute. */
    @Test
    void aStalledMemberThatHearsNoReportsAboutItselfStaysDead() {
        UnaryOperator<byte[]> deafToReports =
                datagram -> {
                    GossipDatagram m = read(datagram);
                    List<MemberUpdate> good =
                            m.updates().stream()
                                    .filter(c -> c.state() == MemberState.ALIVE)
                                    .toList();
                    return GossipCodec.encode(
                            new GossipDatagram(
                                    m.fleet(),
                                    m.kind(),
                                    m.sender(),
                                    m.sequenceNumber(),
                                    m.tableDigest(),
                                    m.probeTarget(),
                                    m.bucketDigests(),
                                    m.requestedBuckets(),
                                    good));
                };
        assertTrue(explore(50, deafToReports, UnaryOperator.identity()).isPresent());
    }

    /** Shows that the test before notices refutations without a higher incarnation. */
    @Test
    void aRefutationWithoutAHigherIncarnationIsIgnored() {
        UnaryOperator<byte[]> withoutIncarnation =
                datagram -> {
                    GossipDatagram m = read(datagram);
                    MemberUpdate me =
                            new MemberUpdate(
                                    m.sender().name(),
                                    m.sender().startId(),
                                    0,
                                    m.sender().state(),
                                    false,
                                    m.sender().address(),
                                    m.sender().reportedBy(),
                                    m.sender().metadata());
                    return GossipCodec.encode(
                            new GossipDatagram(
                                    m.fleet(),
                                    m.kind(),
                                    me,
                                    m.sequenceNumber(),
                                    m.tableDigest(),
                                    m.probeTarget(),
                                    m.bucketDigests(),
                                    m.requestedBuckets(),
                                    m.updates().stream()
                                            .map(c -> c.name().equals(me.name()) ? me : c)
                                            .toList()));
                };
        assertTrue(explore(50, UnaryOperator.identity(), withoutIncarnation).isPresent());
    }

    private static GossipDatagram read(byte[] datagram) {
        try {
            return GossipCodec.decode(datagram, FLEET.fleet());
        } catch (RejectedDatagramException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void aCrashIsKnownByAllWithinThreeSecondsAndALeaveWithinOne() {
        SimulatedGossipCluster fleet = fleet(3, LAN_LINK, 20);
        fleet.run(10 * SECOND_US);
        assertNull(fleet.disagreement());
        fleet.network.bring(new Fault.Kill("m7"));
        fleet.run(3 * SECOND_US);
        assertNull(fleet.disagreement());
        fleet.members.get("m9").leave(fleet.network.now());
        fleet.run(SECOND_US);
        for (String other : fleet.livingProcesses()) {
            assertTrue(
                    fleet.members.get(other).members().stream()
                            .anyMatch(c -> c.name().equals("m9") && c.state() == MemberState.LEFT),
                    other);
        }
    }

    /** With 30% of the datagrams lost and 10% duplicated, none is declared dead in five minutes. */
    @Test
    void noMemberIsDeclaredDeadOnLossyLinks() {
        SimulatedGossipCluster fleet = fleet(4, LOSSY, 20);
        fleet.run(15 * SECOND_US);
        long before = fleet.network.now();
        fleet.run(300 * SECOND_US);
        assertEquals(
                List.of(),
                fleet.events.stream()
                        .filter(s -> s.atUs() > before && s.event().kind() == MemberEvent.Kind.DIED)
                        .toList());
    }

    /** 14 of 20 are killed at once and restarted while some of the others still suspect them. */
    @Test
    void membersThatRestartUnderTheirNamesAreReportedAsRestarted() {
        SimulatedGossipCluster fleet = fleet(5, LAN_LINK, 20);
        fleet.run(10 * SECOND_US);
        names(14).forEach(n -> fleet.network.bring(new Fault.Kill(n)));
        fleet.run(2 * SECOND_US);
        names(14).forEach(n -> fleet.network.bring(new Fault.Restart(n)));
        fleet.run(8 * SECOND_US);
        assertNull(fleet.disagreement());
        Set<String> restarted =
                fleet.events.stream()
                        .filter(
                                s ->
                                        s.observer().equals("m19")
                                                && s.event().kind() == MemberEvent.Kind.RESTARTED)
                        .map(s -> s.event().update().name())
                        .collect(Collectors.toSet());
        assertEquals(Set.copyOf(names(14)), restarted);
    }

    /** Three partitions for 30 s that heal one pair after the other end in equal member tables. */
    @Test
    void partitionsMergeAfterTheyHeal() {
        SimulatedGossipCluster fleet = fleet(6, LAN_LINK, 21);
        fleet.run(10 * SECOND_US);
        cut(fleet, (a, b) -> a % 3 != b % 3, true);
        fleet.run(30 * SECOND_US);
        assertEquals(7, fleet.members.get("m4").presentCount());
        cut(fleet, (a, b) -> a % 3 != b % 3 && a % 3 != 2 && b % 3 != 2, false);
        fleet.run(5 * SECOND_US);
        assertEquals(14, fleet.members.get("m4").presentCount());
        cut(fleet, (a, b) -> a % 3 != b % 3, false);
        fleet.run(5 * SECOND_US);
        assertNull(fleet.disagreement());
    }

    private interface Pair {
        boolean is(int a, int b);
    }

    private static void cut(SimulatedGossipCluster fleet, Pair which, boolean on) {
        for (int a = 0; a < 21; a++) {
            for (int b = 0; b < 21; b++) {
                if (a != b && which.is(a, b)) {
                    fleet.network.bring(
                            on
                                    ? new Fault.Link("m" + a, "m" + b, LinkFault.CUT)
                                    : new Fault.Heal("m" + a, "m" + b));
                }
            }
        }
    }

    /** A member stalls for 10 s and is alive for all others 5 s later. */
    @Test
    void aStalledMemberDeclaresNoOtherMemberDead() {
        SimulatedGossipCluster fleet = fleet(7, LAN_LINK, 20);
        fleet.run(10 * SECOND_US);
        fleet.network.bring(new Fault.Pause("m3"));
        fleet.run(10 * SECOND_US);
        long back = fleet.network.now();
        fleet.network.bring(new Fault.Resume("m3"));
        fleet.run(5 * SECOND_US);
        assertNull(fleet.disagreement());
        assertEquals(
                List.of(),
                fleet.events.stream()
                        .filter(
                                s ->
                                        s.atUs() >= back
                                                && s.observer().equals("m3")
                                                && s.event().kind() == MemberEvent.Kind.DIED)
                        .toList());
        assertTrue(
                fleet.events.stream()
                        .anyMatch(
                                s ->
                                        s.observer().equals("m3")
                                                && s.event().kind() == MemberEvent.Kind.STARVED));
    }

    /** Two processes with one name, of which one ends later. */
    @Test
    void aNameConflictIsReportedByAllMembersUntilItEnds() {
        SimulatedGossipCluster fleet = fleet(8, LAN_LINK, 8);
        fleet.run(5 * SECOND_US);
        fleet.add("intruder", "m5");
        fleet.run(5 * SECOND_US);
        for (String process : fleet.livingProcesses()) {
            assertTrue(
                    fleet.events.stream()
                            .anyMatch(
                                    s ->
                                            s.observer().equals(process)
                                                    && s.event().kind() == MemberEvent.Kind.RIVAL),
                    process);
            assertTrue(
                    fleet.members.get(process).members().stream()
                            .anyMatch(c -> c.name().equals("m5") && c.hasNameConflict()),
                    process);
        }
        fleet.network.bring(new Fault.Kill("intruder"));
        fleet.run(15 * SECOND_US);
        assertNull(fleet.disagreement());
        for (String process : fleet.livingProcesses()) {
            assertTrue(
                    fleet.members.get(process).members().stream()
                            .noneMatch(MemberUpdate::hasNameConflict),
                    process);
        }
    }

    /**
     * Guards against a process that forgets a rival before its probe is answered, and that is not
     * told of it again, since the rival has found the conflict and goes on probing.
     */
    @Test
    void bothProcessesFindANameConflictAlsoIfProbesAreLost() {
        for (long seed = 1; seed <= 200; seed++) {
            SimulatedGossipCluster fleet = fleet(seed, LOSSY, 5);
            fleet.run((5 * SECOND_US) + seed * SECOND_US / 20);
            fleet.add("intruder", "m3");
            fleet.run(30 * SECOND_US);
            for (String process : List.of("m3", "intruder")) {
                assertTrue(
                        fleet.events.stream()
                                .anyMatch(
                                        s ->
                                                s.observer().equals(process)
                                                        && s.event().kind()
                                                                == MemberEvent.Kind.RIVAL),
                        process + " with seed " + seed);
            }
        }
    }

    /** 200 members join by seeds of which one is down. */
    @Test
    void twoHundredMembersThatJoinAtOnceFindEachOther() {
        SimulatedGossipCluster fleet =
                new SimulatedGossipCluster(9, LAN_LINK, FLEET, List.of("nobody", "m0", "m1"));
        names(200).forEach(fleet::add);
        fleet.run(20 * SECOND_US);
        assertNull(fleet.disagreement());
    }

    /** Datagrams that are malformed, oversized, or of another fleet or version. */
    @Test
    void malformedAndForeignDatagramsAreCountedAndChangeNothing() {
        SimulatedGossipCluster fleet = fleet(10, LAN_LINK, 3);
        fleet.run(5 * SECOND_US);
        Membership m = fleet.members.get("m0");
        long digest = m.digest();
        MemberUpdate stranger =
                new MemberUpdate(
                        "x", 1, 0, MemberState.ALIVE, false, "x", "x", MemberMetadata.NONE);
        GossipDatagram good =
                new GossipDatagram(
                        "dhaka",
                        GossipDatagram.Kind.GOSSIP,
                        stranger,
                        0,
                        0,
                        null,
                        List.of(),
                        0,
                        List.of());
        byte[] whole = GossipCodec.encode(good);
        String text = new String(whole, StandardCharsets.UTF_8);
        for (String bad :
                List.of(
                        "",
                        "{}",
                        text.substring(0, text.length() - 1),
                        text + "{}",
                        text.replace("\"v\":1", "\"v\":2"),
                        text.replace("dhaka", "other"),
                        text.replace("\"i\":0", "\"i\":-1"),
                        text.replace("\"i\":0", "\"i\":9007199254740993"),
                        text.replace("\"n\":\"x\"", "\"n\":\"" + "x".repeat(65) + "\""),
                        text.replace("ALIVE", "DEAD"),
                        text.replace("\"no\"", "\"nu\""),
                        text + " ".repeat(1_400))) {
            m.onDatagram(fleet.network.now(), "x", bad.getBytes(StandardCharsets.UTF_8));
            assertEquals(digest, m.digest(), bad);
        }
        assertEquals(
                12,
                m.droppedDatagrams().values().stream().mapToLong(v -> v).sum(),
                "" + m.droppedDatagrams());
        assertEquals(
                Set.of("malformed", "version", "foreign", "oversized"),
                m.droppedDatagrams().keySet());
        m.onDatagram(fleet.network.now(), "x", whole);
        assertNotEquals(digest, m.digest());
    }
}
