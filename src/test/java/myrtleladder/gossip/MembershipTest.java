package myrtleladder.gossip;

import static myrtleladder.gossip.VirtualFleet.LAN;
import static myrtleladder.gossip.VirtualFleet.SECOND;
import static myrtleladder.gossip.VirtualFleet.names;
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

/** Members in virtual time, with faults between them: they find out who is there, and agree. */
class MembershipTest {
    private static final GossipSettings FLEET = GossipSettings.of("dhaka");
    private static final List<String> SEEDS = List.of("m0", "m1", "m2");
    private static final LinkFault LOSSY = new LinkFault(false, 200, 20_000, 0.3, 0.1);

    private static VirtualFleet fleet(long seed, LinkFault links, int count) {
        VirtualFleet fleet = new VirtualFleet(seed, links, FLEET, SEEDS);
        names(count).forEach(fleet::add);
        return fleet;
    }

    /** How a scenario of drawn faults ends: 30 s of them, then 40 s to settle. */
    private static Optional<String> play(
            long seed, FaultPlan plan, UnaryOperator<byte[]> hears, UnaryOperator<byte[]> says) {
        VirtualFleet fleet = new VirtualFleet(seed, LAN, FLEET, SEEDS, hears, says);
        List<String> names = names(7);
        names.forEach(fleet::add);
        fleet.follow(plan);
        fleet.run(30 * SECOND);
        fleet.calm();
        fleet.run(40 * SECOND);
        return !fleet.broken.isEmpty()
                ? Optional.of(fleet.broken.get(0))
                : Optional.ofNullable(fleet.disagreement());
    }

    private static Optional<ScheduleExplorer.Finding> explore(
            int plays, UnaryOperator<byte[]> hears, UnaryOperator<byte[]> says) {
        return ScheduleExplorer.explore(
                1, plays, names(7), 25, 30 * SECOND, (seed, plan) -> play(seed, plan, hears, says));
    }

    static Optional<ScheduleExplorer.Finding> explore(int plays) {
        return explore(plays, UnaryOperator.identity(), UnaryOperator.identity());
    }

    @Test
    void afterTheLastFaultAllAgreeAndNoIncarnationGoesBack() {
        Optional<ScheduleExplorer.Finding> found = explore(120);
        assertTrue(found.isEmpty(), () -> found.orElseThrow().toString());
    }

    /** Whoever can't hear what is said of him stays dead for the others. */
    @Test
    void withoutContradictionAMemberThatStoodStillIsLostForGood() {
        UnaryOperator<byte[]> deaf =
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
        assertTrue(explore(50, deaf, UnaryOperator.identity()).isPresent());
    }

    /** A contradiction on the same incarnation is none. */
    @Test
    void withoutANewIncarnationAContradictionIsNotBelieved() {
        UnaryOperator<byte[]> flat =
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
        assertTrue(explore(50, UnaryOperator.identity(), flat).isPresent());
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
        VirtualFleet fleet = fleet(3, LAN, 20);
        fleet.run(10 * SECOND);
        assertNull(fleet.disagreement());
        fleet.world.bring(new Fault.Kill("m7"));
        fleet.run(3 * SECOND);
        assertNull(fleet.disagreement());
        fleet.members.get("m9").leave(fleet.world.now());
        fleet.run(SECOND);
        for (String other : fleet.living()) {
            assertTrue(
                    fleet.members.get(other).members().stream()
                            .anyMatch(c -> c.name().equals("m9") && c.state() == MemberState.LEFT),
                    other);
        }
    }

    /**
     * With three datagrams of ten lost and some twice, nobody is taken for dead in five minutes.
     */
    @Test
    void onLossyLinksNobodyIsTakenForDead() {
        VirtualFleet fleet = fleet(4, LOSSY, 20);
        fleet.run(15 * SECOND);
        long before = fleet.world.now();
        fleet.run(300 * SECOND);
        assertEquals(
                List.of(),
                fleet.events.stream()
                        .filter(s -> s.at() > before && s.event().kind() == MemberEvent.Kind.DIED)
                        .toList());
    }

    /** 14 of 20 die at one moment and come back under their names while some still suspect them. */
    @Test
    void sevenInTenThatComeBackAreOtherProcessesUnderTheSameNames() {
        VirtualFleet fleet = fleet(5, LAN, 20);
        fleet.run(10 * SECOND);
        names(14).forEach(n -> fleet.world.bring(new Fault.Kill(n)));
        fleet.run(2 * SECOND);
        names(14).forEach(n -> fleet.world.bring(new Fault.Restart(n)));
        fleet.run(8 * SECOND);
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

    /**
     * In three parts for 30 s, then healed pair by pair: one picture again, without anybody's help.
     */
    @Test
    void partsThatWereCutOffFindEachOtherAgain() {
        VirtualFleet fleet = fleet(6, LAN, 21);
        fleet.run(10 * SECOND);
        cut(fleet, (a, b) -> a % 3 != b % 3, true);
        fleet.run(30 * SECOND);
        assertEquals(7, fleet.members.get("m4").presentCount());
        cut(fleet, (a, b) -> a % 3 != b % 3 && a % 3 != 2 && b % 3 != 2, false);
        fleet.run(5 * SECOND);
        assertEquals(14, fleet.members.get("m4").presentCount());
        cut(fleet, (a, b) -> a % 3 != b % 3, false);
        fleet.run(5 * SECOND);
        assertNull(fleet.disagreement());
    }

    private interface Pair {
        boolean is(int a, int b);
    }

    private static void cut(VirtualFleet fleet, Pair which, boolean on) {
        for (int a = 0; a < 21; a++) {
            for (int b = 0; b < 21; b++) {
                if (a != b && which.is(a, b)) {
                    fleet.world.bring(
                            on
                                    ? new Fault.Link("m" + a, "m" + b, LinkFault.CUT)
                                    : new Fault.Heal("m" + a, "m" + b));
                }
            }
        }
    }

    /** One that stood still for 10 s judges nobody by that, and is back within 5 s. */
    @Test
    void whoStoodStillSuspectsHimselfAndNotTheOthers() {
        VirtualFleet fleet = fleet(7, LAN, 20);
        fleet.run(10 * SECOND);
        fleet.world.bring(new Fault.Pause("m3"));
        fleet.run(10 * SECOND);
        long back = fleet.world.now();
        fleet.world.bring(new Fault.Resume("m3"));
        fleet.run(5 * SECOND);
        assertNull(fleet.disagreement());
        assertEquals(
                List.of(),
                fleet.events.stream()
                        .filter(
                                s ->
                                        s.at() >= back
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

    /**
     * Two processes under one name: all are told, and when one of them has gone, that it is over.
     */
    @Test
    void twoProcessesWithOneNameAreNoticedByAll() {
        VirtualFleet fleet = fleet(8, LAN, 8);
        fleet.run(5 * SECOND);
        fleet.add("intruder", "m5");
        fleet.run(5 * SECOND);
        for (String process : fleet.living()) {
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
        fleet.world.bring(new Fault.Kill("intruder"));
        fleet.run(15 * SECOND);
        assertNull(fleet.disagreement());
        for (String process : fleet.living()) {
            assertTrue(
                    fleet.members.get(process).members().stream()
                            .noneMatch(MemberUpdate::hasNameConflict),
                    process);
        }
    }

    /** Who joins 200 strong, by seeds of which one is down, is known to all soon. */
    @Test
    void twoHundredThatJoinAtOnceFindEachOther() {
        VirtualFleet fleet = new VirtualFleet(9, LAN, FLEET, List.of("nobody", "m0", "m1"));
        names(200).forEach(fleet::add);
        fleet.run(20 * SECOND);
        assertNull(fleet.disagreement());
    }

    /** Whatever is not a message of this fleet and format is counted and leaves no trace. */
    @Test
    void foreignAndBrokenDatagramsChangeNothing() {
        VirtualFleet fleet = fleet(10, LAN, 3);
        fleet.run(5 * SECOND);
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
            m.onDatagram(fleet.world.now(), "x", bad.getBytes(StandardCharsets.UTF_8));
            assertEquals(digest, m.digest(), bad);
        }
        assertEquals(
                12,
                m.droppedDatagrams().values().stream().mapToLong(v -> v).sum(),
                "" + m.droppedDatagrams());
        assertEquals(
                Set.of("malformed", "version", "foreign", "oversized"),
                m.droppedDatagrams().keySet());
        m.onDatagram(fleet.world.now(), "x", whole);
        assertNotEquals(digest, m.digest());
    }
}
