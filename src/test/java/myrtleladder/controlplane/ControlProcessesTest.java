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

/**
 * Control plane processes with real sockets and files: suspension, kills, departures and lost
 * disks.
 */
class ControlProcessesTest {
    private static final int UPSTREAM = 9;
    private static final List<String> SEEDS = List.of("n0", "n1", "n2");

    @TempDir Path folder;

    private ControlProcesses startedProcesses() throws Exception {
        ControlProcesses processes = new ControlProcesses(folder);
        try {
            for (String name : SEEDS) {
                processes.start(name, true);
            }
            processes.awaitChange(0, 1);
            return processes;
        } catch (Exception | AssertionError e) {
            processes.close();
            throw e;
        }
    }

    @Test
    void resumedLeaderServesNothingStale() throws Exception {
        try (ControlProcesses processes = startedProcesses()) {
            String leader = processes.findLeader();
            processes.suspend(leader);
            processes.awaitChange(1, 2);
            assertNotEquals(leader, processes.findLeader());
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
            processes.awaitChange(2, 3);
        }
    }

    @Test
    void anyDiskMayBeLostAfterAReplacementAndADeparture() throws Exception {
        try (ControlProcesses processes = startedProcesses()) {
            processes.start("n3", false);
            processes.awaitMember("n3");
            processes.signal("n1", "TERM");
            assertTrue(
                    processes.hasExited("n1", 3_000), "n1 has a successor and must exit at once");
            processes.kill("n1");
            String leader = processes.findLeader();
            processes.kill(leader);
            processes.wipeDisk(leader);
            processes.awaitChange(1, 2);
            processes.start(leader, false);
            processes.awaitChange(2, 3);
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
        try (ControlProcesses processes = startedProcesses()) {
            processes.awaitLoads(report("a", 1, 5));
            processes.awaitLoads(report("a", 1, 5)); // a repeated report
            FleetLoads loads = processes.awaitLoads(report("b", 1, 2));
            assertEquals(1, loads.loads.size());
            assertEquals(5, loads.loads.get(0).inFlightRequests);
            assertEquals(1, loads.cachedPrompts.size());

            processes.kill(processes.findLeader());
            processes.awaitLoads(report("a", 2, 4));
            FleetLoads after = processes.awaitLoads(report("b", 2, 2));
            assertTrue(after.epoch > loads.epoch);
            assertEquals(1, after.loads.size());
            assertEquals(4, after.loads.get(0).inFlightRequests);
        }
    }

    @Test
    void memberThatMissedHundredsOfChangesCatchesUp() throws Exception {
        try (ControlProcesses processes = startedProcesses()) {
            String leader = processes.findLeader();
            String stoppedNode =
                    SEEDS.stream().filter(name -> !name.equals(leader)).findFirst().orElseThrow();
            processes.kill(stoppedNode);
            for (int generation = 1; generation < 300; generation++) {
                processes.awaitChange(generation, generation + 1);
            }
            processes.start(stoppedNode, false);
            processes.awaitMember(stoppedNode);
            String second = processes.findLeader();
            processes.kill(second);
            processes.wipeDisk(second);
            processes.awaitChange(300, 301);
            HttpResponse<String> again =
                    processes.call(
                            processes.findLeader(),
                            "PUT",
                            "/config",
                            "1",
                            "{\"generation\":2,\"services\":[{\"name\":\"s\"}]}");
            assertEquals(
                    200, again.statusCode(), "a change made 299 changes ago must be recognized");
            assertFalse(processes.findLeader().isEmpty());
        }
    }
}
