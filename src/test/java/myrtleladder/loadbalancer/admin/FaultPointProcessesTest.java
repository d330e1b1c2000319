package myrtleladder.loadbalancer.admin;

import static myrtleladder.loadbalancer.admin.FleetProcesses.NAMES;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import myrtleladder.cluster.FaultPointTrigger;
import myrtleladder.consensus.FaultPoint;
import myrtleladder.testbed.fault.Fault;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Five processes, of which the first to reach a fault point crashes or hangs there. Which process
 * that is, and when, is not deterministic; tests in virtual time inject faults at the same points
 * and choose the exact pass.
 */
@Timeout(180)
class FaultPointProcessesTest {
    @TempDir Path folder;

    @ParameterizedTest
    @CsvSource({"ENTRIES_KEPT, CRASH", "VOTE_PROMISED, STAND"})
    void fleetRecoversFromFailureAtAPoint(FaultPoint point, String kind) throws Exception {
        failAtPoint(point, kind);
    }

    @Tag("long")
    @ParameterizedTest
    @EnumSource(
            value = FaultPoint.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = {
                "SNAPSHOT_MADE",
                "SNAPSHOT_SENDING",
                "SNAPSHOT_TAKEN",
                "SNAPSHOT_RESTORED",
                "COMMAND_NOTED",
                "COMMAND_TAKEN"
            })
    void fleetRecoversFromFailureAtEachPointOfAView(FaultPoint point) throws Exception {
        for (String kind : List.of("CRASH", "STAND")) {
            failAtPoint(point, kind);
            System.out.println("point with processes | " + point + " | " + kind + " | held |");
        }
    }

    private void failAtPoint(FaultPoint point, String kind) throws Exception {
        Path directory = Files.createDirectory(folder.resolve(point + "-" + kind));
        Path failedProcessFile = directory.resolve("failed");
        FleetProcesses processes =
                new FleetProcesses(
                        directory,
                        NAMES,
                        "council = [\"b0\", \"b1\", \"b2\", \"b3\", \"b4\"]\n",
                        "-D"
                                + FaultPointTrigger.PROPERTY
                                + "="
                                + point
                                + ":1:"
                                + kind
                                + ":{name}:"
                                + failedProcessFile);
        processes.run(
                processes.layout(),
                (fleet, proxy) -> {
                    processes.await(
                            "all members or the fault",
                            NAMES,
                            "members",
                            l ->
                                    Files.exists(failedProcessFile)
                                            || l.path("members").size() == NAMES.size());
                    processes.await(
                            "the fault point is reached",
                            List.of("b0"),
                            "agreement",
                            l -> Files.exists(failedProcessFile) || l.path("decides").asBoolean());
                    if (!Files.exists(failedProcessFile)) {
                        fleet.bring(new Fault.Restart("b4"));
                        processes.await(
                                "the fault point is reached",
                                List.of("b0"),
                                "agreement",
                                l -> Files.exists(failedProcessFile));
                    }
                    if (kind.equals("CRASH")) {
                        fleet.bring(new Fault.Restart(awaitFailedProcessName(failedProcessFile)));
                    }
                    processes.await(
                            point + " " + kind,
                            NAMES,
                            "agreement",
                            l ->
                                    l.path("decides").asBoolean()
                                            && l.at("/view/lives").size() == NAMES.size()
                                            && l.at("/view/lives/" + l.at("/self/name").asText())
                                                            .asLong()
                                                    == l.at("/self/life").asLong());
                    processes.awaitEqual(NAMES, "agreement", "/view");
                });
        assertTrue(NAMES.contains(awaitFailedProcessName(failedProcessFile)));
    }

    private static String awaitFailedProcessName(Path failedProcessFile) throws Exception {
        String name = Files.readString(failedProcessFile);
        while (name.isEmpty()) { // created but not written yet
            name = Files.readString(failedProcessFile);
        }
        return name;
    }
}
