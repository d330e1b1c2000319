package myrtleladder.loadbalancer.admin;

import static myrtleladder.loadbalancer.admin.FleetProcesses.ALL;
import static myrtleladder.loadbalancer.admin.FleetProcesses.alive;
import static myrtleladder.loadbalancer.admin.FleetProcesses.claim;
import static myrtleladder.loadbalancer.admin.FleetProcesses.is;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import myrtleladder.testbed.fault.Fault;
import myrtleladder.testbed.fault.LinkFault;
import myrtleladder.testbed.process.BalancerFleet;
import myrtleladder.testbed.process.BalancerProcess;
import myrtleladder.testbed.proxy.FaultProxy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Five processes of the program that know each other by UDP, with faults between them. */
@Timeout(120)
class MembershipProcessesTest {
    @TempDir Path folder;

    @Test
    void processesKnowWhoIsThereThroughKillsPausesCutsAndNamesHeldTwice() throws Exception {
        FleetProcesses all =
                new FleetProcesses(folder, List.of("b0", "b1", "b2", "b3", "b4", "twin"), "");
        all.run(
                all.layout(),
                (fleet, relay) -> {
                    all.await("all are there", ALL, alive("b0", "b1", "b2", "b3", "b4"));
                    killAndRestart(all, fleet);
                    pauseAndResume(all, fleet);
                    cutAndHeal(all, relay);
                    holdANameTwice(all);
                    fleet.bring(new Fault.Drain("b1"));
                    all.await(
                            "who goes says so", List.of("b0", "b2", "b3", "b4"), is("b1", "LEFT"));
                    assertTrue(
                            all.shown("b0")
                                    .lines()
                                    .anyMatch(l -> l.startsWith("b1 ") && l.contains(" left ")));
                });
    }

    private static void killAndRestart(FleetProcesses all, BalancerFleet fleet) throws Exception {
        long life = claim(all.look("b0"), "b4").get("life").asLong();
        fleet.bring(new Fault.Kill("b4"));
        all.await("a kill", List.of("b0", "b1", "b2", "b3"), is("b4", "DEAD"));
        fleet.bring(new Fault.Restart("b4"));
        all.await(
                "a restart is another life",
                List.of("b0", "b1", "b2", "b3"),
                is("b4", "ALIVE").and(l -> claim(l, "b4").get("life").asLong() != life));
    }

    private static void pauseAndResume(FleetProcesses all, BalancerFleet fleet) throws Exception {
        long incarnation = claim(all.look("b0"), "b3").get("incarnation").asLong();
        fleet.bring(new Fault.Pause("b3"));
        all.await("a pause", List.of("b0", "b1", "b2", "b4"), is("b3", "DEAD"));
        fleet.bring(new Fault.Resume("b3"));
        all.await(
                "after the pause",
                ALL,
                alive("b0", "b1", "b2", "b3", "b4")
                        .and(l -> claim(l, "b3").get("incarnation").asLong() > incarnation));
    }

    private static void cutAndHeal(FleetProcesses all, FaultProxy relay) throws Exception {
        ALL.stream()
                .filter(n -> !n.equals("b2"))
                .forEach(n -> relay.bring(new Fault.Link("b2", n, LinkFault.CUT)));
        all.await("one that is not heard", List.of("b0", "b1", "b3", "b4"), is("b2", "DEAD"));
        relay.bring(new Fault.HealAll());
        all.await("heard again", ALL, alive("b0", "b1", "b2", "b3", "b4"));

        FleetProcesses.cut(relay, List.of("b0", "b1"), List.of("b2", "b3", "b4"));
        all.await("the smaller part", List.of("b0", "b1"), alive("b0", "b1"));
        all.await("the larger part", List.of("b2", "b3", "b4"), alive("b2", "b3", "b4"));
        relay.bring(new Fault.HealAll());
        all.await("one again", ALL, alive("b0", "b1", "b2", "b3", "b4"));
    }

    private static void holdANameTwice(FleetProcesses all) throws Exception {
        try (BalancerProcess twin = all.twin()) {
            twin.start();
            all.await("a name held twice", ALL, l -> claim(l, "b0").get("rival").asBoolean());
            twin.kill();
            all.await(
                    "held once again",
                    ALL,
                    alive("b0", "b1", "b2", "b3", "b4")
                            .and(l -> !claim(l, "b0").get("rival").asBoolean()));
        }
    }
}
