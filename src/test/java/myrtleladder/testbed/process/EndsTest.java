package myrtleladder.testbed.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import myrtleladder.error.OperatorError.StartFailed;
import myrtleladder.testbed.checker.Checker.Repeat;
import myrtleladder.testbed.checker.Rules;
import myrtleladder.testbed.fake.FakeClients;
import myrtleladder.testbed.fake.RequestClass;
import myrtleladder.testbed.fake.TrafficProfile;
import myrtleladder.testbed.fake.UpstreamProfile;
import myrtleladder.testbed.fault.FaultPlan;
import myrtleladder.testbed.fault.LinkFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** However a run of the lab ends, no process of it goes on. */
@Timeout(60)
class EndsTest {
    private static final long SECOND = 1_000_000;
    private static final int PATIENCE_S = 30;
    private static final String JAVA =
            Path.of(System.getProperty("java.home"), "bin", "java").toString();
    private static final String BALANCER =
            JAVA
                    + " -Xmx64m -cp '"
                    + System.getProperty("java.class.path")
                    + "' myrtleladder.loadbalancer.server.Main serve";

    @TempDir Path folder;

    private BalancerFleet.Layout layout(String shell) {
        Rules rules = new Rules(SECOND / 2, 2 * SECOND, 0.3, 4 * SECOND, 2.5, SECOND);
        UpstreamProfile kind =
                new UpstreamProfile(
                        2, 1, 40, 200, 5 * SECOND, 100, 0.4, SECOND / 2, SECOND / 10, 0, rules);
        RequestClass look =
                new RequestClass("look", Repeat.FREE, 1, 8_000, SECOND, 2 * SECOND, 1, 0);
        return new BalancerFleet.Layout(
                2,
                2,
                kind,
                rules,
                new TrafficProfile(10, List.of(look), 10, 0),
                new FakeClients.Retries(0, 1, 0),
                LinkFault.NONE,
                1,
                0,
                List.of("/bin/sh", "-c", shell),
                Path.of("").toAbsolutePath(),
                folder);
    }

    private static Set<ProcessHandle> started() {
        return ProcessHandle.current().descendants().collect(Collectors.toSet());
    }

    private static void assertEnded(Set<ProcessHandle> processes) throws Exception {
        for (ProcessHandle process : processes) {
            process.onExit().get(PATIENCE_S, TimeUnit.SECONDS);
        }
    }

    @Test
    void aBalancerThatEndsAtItsStartIsToldWithWhereItsLogIs() {
        StartFailed e =
                assertThrows(
                        StartFailed.class,
                        () -> new BalancerFleet(layout("echo port taken; exit 1")));
        assertTrue(e.description().contains(folder.toString()), e.getMessage());
    }

    /**
     * The shell is what the lab has started; it ignores SIGTERM and has the balancer as a child.
     */
    @Test
    void aBalancerBehindAShellThatIgnoresTheSignalEndsWithTheFleet() throws Exception {
        Set<ProcessHandle> before = started();
        Set<ProcessHandle> during;
        try (BalancerFleet fleet =
                new BalancerFleet(layout("trap '' TERM; " + BALANCER + "; true"))) {
            during = started();
            assertEquals(List.of(), fleet.play(SECOND, FaultPlan.QUIET).violations());
        }
        during.removeAll(before);
        assertEquals(4, during.size(), "two shells with a child each: " + during);
        assertEnded(during);
    }

    /**
     * As by Ctrl-C; SIGTERM here, since a shell has what it starts in the background ignore SIGINT.
     */
    @Test
    void aRunThatIsInterruptedLeavesNoProcess() throws Exception {
        Files.createDirectories(folder.resolve("deploy"));
        Files.createDirectories(folder.resolve("target"));
        Files.writeString(folder.resolve("target/myrtleladder-loadbalancer.jar"), "");
        Files.writeString(
                folder.resolve("deploy/balancer.toml"), "run = \"exec " + BALANCER + "\"\n");
        Files.writeString(
                folder.resolve("e.toml"),
                """
                name = "long"
                seconds = 300
                balancers = 2
                upstreams = 2
                [traffic]
                per-second = 10
                [[class]]
                name = "look"
                """);
        Process lab =
                new ProcessBuilder(
                                JAVA,
                                "-cp",
                                System.getProperty("java.class.path"),
                                "myrtleladder.loadbalancer.admin.Main",
                                "lab",
                                "run",
                                folder.resolve("e.toml").toString(),
                                "--build",
                                folder.toString(),
                                "--out",
                                folder.resolve("out").toString())
                        .redirectErrorStream(true)
                        .start();
        try (BufferedReader said = lab.inputReader()) {
            Path log = folder.resolve("out/long-0/b1.log");
            while (lab.isAlive()
                    && !(Files.exists(log) && Files.readString(log).contains("rehearsed with"))) {
                Thread.onSpinWait();
            }
            Set<ProcessHandle> balancers = lab.descendants().collect(Collectors.toSet());
            assertEquals(2, balancers.size(), () -> said.lines().collect(Collectors.joining("\n")));
            assertEquals(
                    0,
                    new ProcessBuilder("kill", "-TERM", Long.toString(lab.pid()))
                            .start()
                            .waitFor());
            assertTrue(lab.waitFor(PATIENCE_S, TimeUnit.SECONDS), "the lab goes on");
            assertEnded(balancers);
        } finally {
            lab.descendants().forEach(ProcessHandle::destroyForcibly);
            lab.destroyForcibly();
        }
    }
}
