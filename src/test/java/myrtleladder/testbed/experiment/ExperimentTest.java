package myrtleladder.testbed.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import myrtleladder.error.OperatorError.InvalidConfigurationFile;
import myrtleladder.testbed.fault.Fault;
import myrtleladder.testbed.fault.FaultPlan;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Experiment files: what is wrong in one is named with file, line and key; groups become their
 * members.
 */
class ExperimentTest {
    private static final String GOOD =
            """
            name = "one"
            seconds = 10
            balancers = 4
            upstreams = 6

            [traffic]
            per-second = 50

            [[class]]
            name = "look"

            [[class]]
            name = "book"
            repeat = "KEYED"

            [[fault]]
            at-s = 1
            do = "kill"
            who = ["b1..b3", "u0"]
            every-ms = 10

            [[fault]]
            at-s = 2
            do = "cut"
            from = ["b0"]
            to = ["u4..u5"]
            both = true
            """;

    @TempDir Path folder;

    private Path file(String text) throws Exception {
        return Files.writeString(folder.resolve("e.toml"), text);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "seconds = 10|secunds = 10|:2: secunds: ",
                "repeat = \"KEYED\"|repeat = \"TWICE\"|:14: class[1].repeat: ",
                "per-second = 50|per-second = \"x\"|:7: traffic.per-second: ",
                "balancers = 4|balancers = 0|balancers: ",
                "per-second = 50|per-second = -1|traffic.per-second: ",
                "repeat = \"KEYED\"|repeet = \"KEYED\"|:14: class[1].repeet",
                "at-s = 2|at-s = 12|fault[1].at-s: ",
                "kill|explode|fault[0].do: ",
                "u4..u5|u4..u6|fault[1].to: ",
                "who = [|whom = [|:19: fault[0].whom: ",
                "[traffic]|[traffic|:6: "
            })
    void whatIsWrongIsNamedWithFileLineAndKey(String good, String bad, String complaint)
            throws Exception {
        Path file = file(GOOD.replace(good, bad));
        var e = assertThrows(InvalidConfigurationFile.class, () -> Experiment.read(file));
        assertTrue(e.description().startsWith(file.toString()), e.description());
        assertTrue(e.description().contains(complaint), e.description());
    }

    @Test
    void groupsBecomeTheirMembersOneAfterTheOther() throws Exception {
        FaultPlan plan = FaultTimeline.plan(Experiment.read(file(GOOD)));
        assertEquals(
                List.of(
                        new Fault.Kill("b1"),
                        new Fault.Kill("b2"),
                        new Fault.Kill("b3"),
                        new Fault.Kill("u0")),
                plan.steps().subList(0, 4).stream().map(FaultPlan.Step::fault).toList());
        assertEquals(1_030_000, plan.steps().get(3).at());
        assertEquals(8, plan.steps().size());
    }

    @Test
    void theExperimentsThatComeWithTheProgramCanBeRead() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("experiments"))) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                assertTrue(Experiment.read(file).micros() > 0, file.toString());
            }
        }
    }

    /**
     * The folder for the fleet's days: they are of the users' bench, so only their syntax is read
     * here.
     */
    @Test
    void theDaysOfTheFleetAreNamedWithTrafficAndWhatHappens() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("experiments", "system"))) {
            for (Path file : files.toList()) {
                JsonNode day = new TomlMapper().readTree(file.toFile()).path("day").path(0);
                assertTrue(!day.path("name").asText().isEmpty(), file.toString());
                assertTrue(day.path("traffic").size() > 0, file.toString());
                assertTrue(
                        day.path("plan").size() + day.path("faults").size() > 0, file.toString());
            }
        }
    }
}
