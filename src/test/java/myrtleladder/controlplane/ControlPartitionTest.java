package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import myrtleladder.testbed.fault.Fault;
import myrtleladder.testbed.fault.LinkFault;
import myrtleladder.testbed.proxy.FaultProxy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Partitions and slow links between real control processes, which call each other through a fault
 * proxy while operators, balancers and upstreams call them.
 */
class ControlPartitionTest {
    /** After this many attempts a partition is used even if the view has changed meanwhile. */
    private static final int MAX_CUT_ATTEMPTS = 5;

    private static final int MAX_PRIMARIES = 10;
    private static final long RECOVERY_TIMEOUT_MS = 10_000;
    private static final LinkFault SLOW_LINK = new LinkFault(false, 120_000, 60_000, 0, 0, 0);

    @TempDir Path folder;
    private FaultProxy proxy;

    @BeforeEach
    void openProxy() {
        proxy = new FaultProxy(1, LinkFault.NONE);
    }

    @AfterEach
    void closeProxy() {
        proxy.close();
    }

    /** Starts nodes and waits until all are members of the group; stops them all on a failure. */
    private ControlProcesses startedProcesses(int nodes) throws Exception {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            names.add("n" + i);
        }
        ControlProcesses processes = new ControlProcesses(folder, proxy, names);
        try {
            for (String name : names) {
                processes.start(name, true);
            }
            processes.awaitFirstChange();
            processes.awaitMembers(names);
            return processes;
        } catch (Exception | AssertionError e) {
            processes.close();
            throw e;
        }
    }

    private void cutLink(String from, String to) {
        proxy.bring(new Fault.Link(from, to, LinkFault.CUT));
    }

    private void cutBetween(List<String> side, List<String> other) {
        for (String one : side) {
            for (String two : other) {
                cutLink(one, two);
                cutLink(two, one);
            }
        }
    }

    /** Chooses one side of a partition from the current view. */
    private interface SideChooser {
        List<String> choose() throws InterruptedException;
    }

    /** Partitions off one side; starts over if the view changed just before the partition. */
    private void isolateSide(ControlProcesses processes, SideChooser chooser) throws Exception {
        for (int attempt = 1; ; attempt++) {
            String view = processes.awaitStableView();
            List<String> side = chooser.choose();
            List<String> others = new ArrayList<>(processes.names());
            others.removeAll(side);
            cutBetween(side, others);
            if (attempt == MAX_CUT_ATTEMPTS || processes.view().equals(view)) {
                return;
            }
            proxy.bring(new Fault.HealAll());
            processes.awaitMembers(processes.names());
        }
    }

    /**
     * The leader and a voter without the state, so that the others keep a majority and a replica.
     */
    private static List<String> leaderAndVoter(ControlProcesses processes)
            throws InterruptedException {
        String leader = processes.awaitLeader();
        List<String> voters = new ArrayList<>(processes.names());
        voters.removeAll(processes.replicas());
        return List.of(leader, voters.get(0));
    }

    private static List<String> bothReplicas(ControlProcesses processes)
            throws InterruptedException {
        List<String> replicas = processes.replicas();
        assertEquals(2, replicas.size());
        return replicas;
    }

    private static List<String> without(List<String> names, String name) {
        return names.stream().filter(other -> !other.equals(name)).toList();
    }

    /** Waits for that many more acknowledged changes; returns the waiting time in ms. */
    private static long awaitChanges(ControlTraffic traffic, int count)
            throws InterruptedException {
        long startedAt = System.nanoTime();
        long target = traffic.newestAcknowledgedGeneration() + count;
        while (traffic.newestAcknowledgedGeneration() < target) {
            long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
            assertTrue(waitedMs < RECOVERY_TIMEOUT_MS, "no change was acknowledged in time");
            Thread.sleep(10);
        }
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
    }

    private void isolateLeaderFor(long durationMs) throws Exception {
        try (ControlProcesses processes = startedProcesses(3);
                ControlTraffic traffic = new ControlTraffic(processes)) {
            awaitChanges(traffic, 2);
            String leader = processes.awaitLeader();
            cutBetween(List.of(leader), without(processes.names(), leader));
            awaitChanges(traffic, 2);
            Thread.sleep(durationMs);
            awaitChanges(traffic, 2);
            proxy.bring(new Fault.HealAll());
            processes.awaitMembers(List.of(leader));
            awaitChanges(traffic, 2);
            assertTrue(traffic.acknowledgedDepartures() > 0);
            assertEquals(List.of(), traffic.stopAndFindViolations(MAX_PRIMARIES));
        }
    }

    @Test
    void isolatedLeaderIsReplacedAndRejoinsAsAFollower() throws Exception {
        isolateLeaderFor(3_000);
    }

    @Test
    @Tag("long")
    void leaderIsolatedFor20SecondsServesNothingStale() throws Exception {
        isolateLeaderFor(20_000);
    }

    @Test
    void leaderThatReachesNoOtherNodeIsReplaced() throws Exception {
        try (ControlProcesses processes = startedProcesses(3);
                ControlTraffic traffic = new ControlTraffic(processes)) {
            awaitChanges(traffic, 2);
            String leader = processes.awaitLeader();
            for (String other : without(processes.names(), leader)) {
                cutLink(leader, other);
            }
            awaitChanges(traffic, 5);
            proxy.bring(new Fault.HealAll());
            awaitChanges(traffic, 5);
            assertEquals(List.of(), traffic.stopAndFindViolations(MAX_PRIMARIES));
        }
    }

    @Test
    void majorityContinuesWithoutTheLeaderAndAnotherVoter() throws Exception {
        try (ControlProcesses processes = startedProcesses(5);
                ControlTraffic traffic = new ControlTraffic(processes)) {
            awaitChanges(traffic, 2);
            isolateSide(processes, () -> leaderAndVoter(processes));
            awaitChanges(traffic, 3);
            proxy.bring(new Fault.HealAll());
            processes.awaitMembers(processes.names());
            awaitChanges(traffic, 3);
            assertEquals(List.of(), traffic.stopAndFindViolations(MAX_PRIMARIES));
        }
    }

    @Test
    void changesStopWhileTheMajorityHasNoReplica() throws Exception {
        try (ControlProcesses processes = startedProcesses(5);
                ControlTraffic traffic = new ControlTraffic(processes)) {
            awaitChanges(traffic, 2);
            isolateSide(processes, () -> bothReplicas(processes));
            Thread.sleep(2_000); // a change that was in flight may still be acknowledged
            long before = traffic.newestAcknowledgedGeneration();
            Thread.sleep(2_000);
            assertEquals(
                    before,
                    traffic.newestAcknowledgedGeneration(),
                    "no change may be acknowledged without a majority that has a replica");
            proxy.bring(new Fault.HealAll());
            awaitChanges(traffic, 3);
            assertEquals(List.of(), traffic.stopAndFindViolations(MAX_PRIMARIES));
        }
    }

    @Test
    void slowLinksDelayChangesWithoutViolations() throws Exception {
        try (ControlProcesses processes = startedProcesses(3);
                ControlTraffic traffic = new ControlTraffic(processes)) {
            awaitChanges(traffic, 2);
            for (String one : processes.names()) {
                for (String other : without(processes.names(), one)) {
                    proxy.bring(new Fault.Link(one, other, SLOW_LINK));
                }
            }
            awaitChanges(traffic, 3);
            processes.awaitLeader();
            proxy.bring(new Fault.HealAll());
            awaitChanges(traffic, 3);
            processes.awaitLeader();
            assertEquals(List.of(), traffic.stopAndFindViolations(MAX_PRIMARIES));
        }
    }
}
