package myrtleladder.gossip;

import static myrtleladder.gossip.SimulatedGossipCluster.LAN_LINK;
import static myrtleladder.gossip.SimulatedGossipCluster.SECOND_US;
import static myrtleladder.gossip.SimulatedGossipCluster.names;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import myrtleladder.testbed.fault.Fault;
import myrtleladder.testbed.fault.LinkFault;
import myrtleladder.testbed.simulation.ScheduleExplorer;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The figures of docs/membership.md, in virtual time; each line that is printed is one of its
 * tables'.
 */
@Tag("long")
class MembershipFiguresTest {
    private static final GossipSettings FLEET = GossipSettings.of("dhaka");
    private static final List<String> SEEDS = List.of("m0", "m1", "m2");

    private static SimulatedGossipCluster settled(long seed, LinkFault links, int count) {
        SimulatedGossipCluster fleet = new SimulatedGossipCluster(seed, links, FLEET, SEEDS);
        names(count).forEach(fleet::add);
        for (int i = 0; i < 60 && fleet.disagreement() != null; i++) {
            fleet.run(2 * SECOND_US);
        }
        fleet.run(5 * SECOND_US);
        fleet.events.clear();
        return fleet;
    }

    /**
     * Three crashes, one after the other; what a member sends is counted over 10 s without a fault.
     */
    @ParameterizedTest
    @ValueSource(ints = {10, 50, 100, 200, 440, 1_000, 5_000})
    void crash(int count) {
        SimulatedGossipCluster fleet = settled(1, LAN_LINK, count);
        assertEquals(null, fleet.disagreement());
        long datagrams = fleet.datagramCount;
        long bytes = fleet.byteCount;
        fleet.run(10 * SECOND_US);
        double sent = (fleet.datagramCount - datagrams) / 10.0 / count;
        double each = (fleet.byteCount - bytes) / 10.0 / count;
        double[] sums = new double[3];
        for (String victim : List.of("m3", "m5", "m8")) {
            long at = fleet.network.now();
            fleet.events.clear();
            fleet.network.bring(new Fault.Kill(victim));
            fleet.run(20 * SECOND_US);
            List<Long> knew =
                    fleet.events.stream()
                            .filter(
                                    s ->
                                            s.event().kind() == MemberEvent.Kind.DIED
                                                    && s.event().update().name().equals(victim))
                            .map(s -> s.atUs() - at)
                            .sorted()
                            .toList();
            assertEquals(fleet.livingProcesses().size(), knew.size());
            sums[0] += knew.get(0) / 3e6;
            sums[1] += knew.get(knew.size() / 2) / 3e6;
            sums[2] += knew.get(knew.size() - 1) / 3e6;
        }
        System.out.printf(
                Locale.ROOT,
                "crash | %d | %.2f | %.2f | %.2f | %.1f | %.0f |%n",
                count,
                sums[0],
                sums[1],
                sums[2],
                sent,
                each);
    }

    /** Who is held dead though it lives, in so many hours of the fleet's time. */
    @ParameterizedTest
    @CsvSource({"0, 0, 0.5", "0.05, 0, 0.5", "0.2, 0, 1", "0.3, 0, 0.5", "0, 2, 0.5"})
    void falseRemovals(double loss, int starved, double hours) {
        SimulatedGossipCluster fleet = settled(2, new LinkFault(false, 200, 300, loss, 0), 20);
        for (long until = fleet.network.now() + (long) (hours * 3_600 * SECOND_US);
                fleet.network.now() < until; ) {
            for (String s : names(starved)) {
                fleet.network.bring(new Fault.Pause(s));
            }
            fleet.run(SECOND_US);
            for (String s : names(starved)) {
                fleet.network.bring(new Fault.Resume(s));
            }
            fleet.run(SECOND_US);
        }
        List<String> dead =
                fleet.events.stream()
                        .filter(
                                s ->
                                        s.event().kind() == MemberEvent.Kind.DIED
                                                && s.event()
                                                        .update()
                                                        .reportedBy()
                                                        .equals(s.observer()))
                        .map(s -> s.event().update().name())
                        .toList();
        long well = dead.stream().filter(n -> !names(starved).contains(n)).count();
        long suspected =
                fleet.events.stream()
                        .filter(
                                s ->
                                        s.event().kind() == MemberEvent.Kind.SUSPECTED
                                                && s.event()
                                                        .update()
                                                        .reportedBy()
                                                        .equals(s.observer()))
                        .count();
        System.out.printf(
                Locale.ROOT,
                "false | %.2f | %d of 20 | %.1f h | %d | %d | %d |%n",
                loss,
                starved,
                hours,
                suspected,
                well,
                dead.size() - well);
        assertTrue(
                loss > 0.2 || dead.isEmpty() || (starved > 0 && well == 0), "held dead: " + dead);
    }

    @Test
    void drawnFaultsByTheThousand() {
        int runs = Integer.getInteger("plays", 10_000);
        Optional<ScheduleExplorer.Finding> found = MembershipTest.explore(runs);
        System.out.println(
                "drawn | " + runs + " | " + (found.isEmpty() ? "held" : found.get()) + " |");
        assertTrue(found.isEmpty());
    }
}
