package myrtleladder.loadbalancer.admin;

import static myrtleladder.loadbalancer.admin.FleetProcesses.NAMES;
import static myrtleladder.loadbalancer.admin.FleetProcesses.claim;
import static myrtleladder.loadbalancer.admin.FleetProcesses.hasExactlyAlive;
import static myrtleladder.loadbalancer.admin.FleetProcesses.hasMemberState;
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

/** Membership of five load balancer processes over UDP, with injected faults. */
@Timeout(120)
class MembershipProcessesTest {
    @TempDir Path folder;

    @Test
    void membershipConvergesAfterKillsPausesLinkCutsAndDuplicateNames() throws Exception {
        FleetProcesses processes =
                new FleetProcesses(folder, List.of("b0", "b1", "b2", "b3", "b4", "twin"), "");
        processes.run(
                processes.layout(),
                (fleet, proxy) -> {
                    processes.await(
                            "all members are alive",
                            NAMES,
                            hasExactlyAlive("b0", "b1", "b2", "b3", "b4"));
                    killAndRestart(processes, fleet);
                    pauseAndResume(processes, fleet);
                    cutAndHeal(processes, proxy);
                    startProcessWithDuplicateName(processes);
                    fleet.bring(new Fault.Drain("b1"));
                    processes.await(
                            "a drained process announces that it left",
                            List.of("b0", "b2", "b3", "b4"),
                            hasMemberState("b1", "LEFT"));
                    assertTrue(
                            processes
                                    .printMembers("b0")
                                    .lines()
                                    .anyMatch(l -> l.startsWith("b1 ") && l.contains(" left ")));
                });
    }

    private static void killAndRestart(FleetProcesses processes, BalancerFleet fleet)
            throws Exception {
        long life = claim(processes.fetchMembers("b0"), "b4").get("life").asLong();
        fleet.bring(new Fault.Kill("b4"));
        processes.await(
                "a killed process is dead",
                List.of("b0", "b1", "b2", "b3"),
                hasMemberState("b4", "DEAD"));
        fleet.bring(new Fault.Restart("b4"));
        processes.await(
                "a restarted process has a new life",
                List.of("b0", "b1", "b2", "b3"),
                hasMemberState("b4", "ALIVE")
                        .and(l -> claim(l, "b4").get("life").asLong() != life));
    }

    private static void pauseAndResume(FleetProcesses processes, BalancerFleet fleet)
            throws Exception {
        long incarnation = claim(processes.fetchMembers("b0"), "b3").get("incarnation").asLong();
        fleet.bring(new Fault.Pause("b3"));
        processes.await(
                "a paused process is dead",
                List.of("b0", "b1", "b2", "b4"),
                hasMemberState("b3", "DEAD"));
        fleet.bring(new Fault.Resume("b3"));
        processes.await(
                "a resumed process is alive",
                NAMES,
                hasExactlyAlive("b0", "b1", "b2", "b3", "b4")
                        .and(l -> claim(l, "b3").get("incarnation").asLong() > incarnation));
    }

    private static void cutAndHeal(FleetProcesses processes, FaultProxy proxy) throws Exception {
        NAMES.stream()
                .filter(n -> !n.equals("b2"))
                .forEach(n -> proxy.bring(new Fault.Link("b2", n, LinkFault.CUT)));
        processes.await(
                "a process whose messages are dropped is dead",
                List.of("b0", "b1", "b3", "b4"),
                hasMemberState("b2", "DEAD"));
        proxy.bring(new Fault.HealAll());
        processes.await(
                "alive after the link is restored",
                NAMES,
                hasExactlyAlive("b0", "b1", "b2", "b3", "b4"));

        FleetProcesses.cutLinks(proxy, List.of("b0", "b1"), List.of("b2", "b3", "b4"));
        processes.await("the minority partition", List.of("b0", "b1"), hasExactlyAlive("b0", "b1"));
        processes.await(
                "the majority partition",
                List.of("b2", "b3", "b4"),
                hasExactlyAlive("b2", "b3", "b4"));
        proxy.bring(new Fault.HealAll());
        processes.await(
                "all alive after the partitions are healed",
                NAMES,
                hasExactlyAlive("b0", "b1", "b2", "b3", "b4"));
    }

    private static void startProcessWithDuplicateName(FleetProcesses processes) throws Exception {
        try (BalancerProcess duplicate = processes.createDuplicateOfFirst()) {
            duplicate.start();
            processes.await(
                    "a duplicate name is detected",
                    NAMES,
                    l -> claim(l, "b0").get("rival").asBoolean());
            duplicate.kill();
            processes.await(
                    "the duplicate is gone",
                    NAMES,
                    hasExactlyAlive("b0", "b1", "b2", "b3", "b4")
                            .and(l -> !claim(l, "b0").get("rival").asBoolean()));
        }
    }
}
