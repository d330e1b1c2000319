package myrtleladder.loadbalancer.admin;

import static myrtleladder.loadbalancer.admin.FleetProcesses.ALL;
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
 * Five processes, of which the first that comes to a point crashes there or stands still. Which one
 * that is, and when, is chance; the same points are failed at exact passes in virtual time.
 */
@Timeout(180)
class FaultPointProcessesTest {
    @TempDir Path folder;

    @ParameterizedTest
    @CsvSource({"ENTRIES_KEPT, CRASH", "VOTE_PROMISED, STAND"})
    void aProcessThatFailsAtAPointBreaksNothing(FaultPoint point, String kind) throws Exception {
        fail(point, kind);
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
    void aProcessThatFailsAtAnyPointOfAViewBreaksNothing(FaultPoint point) throws Exception {
        for (String kind : List.of("CRASH", "STAND")) {
            fail(point, kind);
            System.out.println("point with processes | " + point + " | " + kind + " | held |");
        }
    }

    private void fail(FaultPoint point, String kind) throws Exception {
        Path here = Files.createDirectory(folder.resolve(point + "-" + kind));
        Path failed = here.resolve("failed");
        FleetProcesses all =
                new FleetProcesses(
                        here,
                        ALL,
                        "council = [\"b0\", \"b1\", \"b2\", \"b3\", \"b4\"]\n",
                        "-D"
                                + FaultPointTrigger.PROPERTY
                                + "="
                                + point
                                + ":1:"
                                + kind
                                + ":{name}:"
                                + failed);
        all.run(
                all.layout(),
                (fleet, relay) -> {
                    all.await(
                            "the fault",
                            ALL,
                            "members",
                            l -> Files.exists(failed) || l.path("members").size() == ALL.size());
                    all.await(
                            "the point",
                            List.of("b0"),
                            "agreement",
                            l -> Files.exists(failed) || l.path("decides").asBoolean());
                    if (!Files.exists(failed)) {
                        fleet.bring(new Fault.Restart("b4"));
                        all.await(
                                "the point", List.of("b0"), "agreement", l -> Files.exists(failed));
                    }
                    if (kind.equals("CRASH")) {
                        fleet.bring(new Fault.Restart(named(failed)));
                    }
                    all.await(
                            point + " " + kind,
                            ALL,
                            "agreement",
                            l ->
                                    l.path("decides").asBoolean()
                                            && l.at("/view/lives").size() == ALL.size()
                                            && l.at("/view/lives/" + l.at("/self/name").asText())
                                                            .asLong()
                                                    == l.at("/self/life").asLong());
                    all.awaitOne(ALL, "agreement", "/view");
                });
        assertTrue(ALL.contains(named(failed)));
    }

    private static String named(Path failed) throws Exception {
        String name = Files.readString(failed);
        while (name.isEmpty()) { // it is being written
            name = Files.readString(failed);
        }
        return name;
    }
}
