package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import myrtleladder.protocol.CachedPrompt;
import myrtleladder.protocol.FleetLoads;
import myrtleladder.protocol.LoadReport;
import myrtleladder.protocol.UpstreamLoad;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Faults of real processes with real sockets and files. */
class ControlProcessesTest {
    private static final int UPSTREAM = 9;
    private static final List<String> SEEDS = List.of("n0", "n1", "n2");

    @TempDir Path folder;

    private ControlProcesses started() throws Exception {
        ControlProcesses processes = new ControlProcesses(folder);
        try {
            for (String name : SEEDS) {
                processes.start(name, true);
            }
            processes.change(0, 1);
            return processes;
        } catch (Exception | AssertionError e) {
            processes.close();
            throw e;
        }
    }

    @Test
    void leaderThatWasSuspendedShowsNothingStaleWhenItResumes() throws Exception {
        try (ControlProcesses processes = started()) {
            String leader = processes.leader();
            processes.suspend(leader);
            processes.change(1, 2);
            assertNotEquals(leader, processes.leader());
            processes.signal(leader, "CONT");
            for (int i = 0; i < 20; i++) {
                HttpResponse<String> read = processes.call(leader, "GET", "/config", "", "");
                boolean newest =
                        read != null
                                && read.statusCode() == 200
                                && read.body().contains("\"generation\":2");
                assertTrue(
                        newest || read == null || read.statusCode() == 503, String.valueOf(read));
            }
            processes.change(2, 3);
        }
    }

    @Test
    void anyDiskMayBeLostAfterAReplacementAndALeaversEnd() throws Exception {
        try (ControlProcesses processes = started()) {
            processes.start("n3", false);
            processes.awaitMember("n3");
            processes.signal("n1", "TERM");
            assertTrue(processes.hasEnded("n1", 3_000), "a successor stands");
            processes.kill("n1");
            String leader = processes.leader();
            processes.kill(leader);
            processes.wipe(leader);
            processes.change(1, 2);
            processes.start(leader, false);
            processes.change(2, 3);
        }
    }

    private static LoadReport report(String balancer, long sequence, int requests) {
        LoadReport report = new LoadReport();
        report.balancer = balancer;
        report.processId = 1;
        report.sequence = sequence;
        report.loads.add(UpstreamLoad.of(UPSTREAM, requests, 100 * requests));
        report.cachedPrompts.add(CachedPrompt.of(77, UPSTREAM));
        return report;
    }

    @Test
    void balancersGetEachOthersLoadsAlsoFromTheNextLeader() throws Exception {
        try (ControlProcesses processes = started()) {
            processes.loads(report("a", 1, 5));
            processes.loads(report("a", 1, 5)); // sent again
            FleetLoads loads = processes.loads(report("b", 1, 2));
            assertEquals(1, loads.loads.size());
            assertEquals(5, loads.loads.get(0).inFlightRequests);
            assertEquals(1, loads.cachedPrompts.size());

            processes.kill(processes.leader());
            processes.loads(report("a", 2, 4));
            FleetLoads after = processes.loads(report("b", 2, 2));
            assertTrue(after.epoch > loads.epoch);
            assertEquals(1, after.loads.size());
            assertEquals(4, after.loads.get(0).inFlightRequests);
        }
    }

    @Test
    void memberThatMissedHundredsOfChangesCatchesUp() throws Exception {
        try (ControlProcesses processes = started()) {
            String leader = processes.leader();
            String away =
                    SEEDS.stream().filter(name -> !name.equals(leader)).findFirst().orElseThrow();
            processes.kill(away);
            for (int generation = 1; generation < 300; generation++) {
                processes.change(generation, generation + 1);
            }
            processes.start(away, false);
            processes.awaitMember(away);
            String second = processes.leader();
            processes.kill(second);
            processes.wipe(second);
            processes.change(300, 301);
            HttpResponse<String> again =
                    processes.call(
                            processes.leader(),
                            "PUT",
                            "/config",
                            "1",
                            "{\"generation\":2,\"services\":[{\"name\":\"s\"}]}");
            assertEquals(200, again.statusCode(), "an order of 299 changes ago is known");
            assertFalse(processes.leader().isEmpty());
        }
    }
}
