package myrtleladder.testbed.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import myrtleladder.testbed.checker.Checker.Repeat;
import myrtleladder.testbed.checker.Rules;
import myrtleladder.testbed.checker.Violation;
import myrtleladder.testbed.fake.FakeClients.Outcome;
import myrtleladder.testbed.fake.RequestClass;
import myrtleladder.testbed.fake.TrafficProfile.Arrival;
import myrtleladder.testbed.fault.FaultPlan;
import myrtleladder.testbed.process.BalancerFleet;
import myrtleladder.testbed.process.ProcessSample;
import myrtleladder.testbed.process.UpstreamSample;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Pins the experiment files of the lab, with all keys that one may have, and the record and the
 * line of figures that a play leaves. Experiments are kept for years and played again; records are
 * read by scripts.
 */
class ExperimentCompatibilityTest {
    private static final Path GOLDEN = Path.of("src/test/resources/compatibility/lab");
    private static final Path ALL_KEYS = GOLDEN.resolve("all-keys.toml");
    private static final Path FEWEST_KEYS = GOLDEN.resolve("fewest-keys.toml");
    private static final ObjectMapper JSON = new ObjectMapper();

    @TempDir Path folder;

    private static BalancerFleet.Result result() {
        List<BalancerFleet.Ended> ended = new ArrayList<>();
        for (Outcome outcome : Outcome.values()) {
            int n = ended.size();
            Arrival arrival = new Arrival(1_000_000L * n, n, n % 2, "k" + n, 40_000);
            ended.add(new BalancerFleet.Ended(arrival, outcome, 50_000 + n, 1 + n, 100));
        }
        List<Violation> violations = new ArrayList<>();
        for (Violation.Kind kind : Violation.Kind.values()) {
            violations.add(new Violation(kind, 7, "r" + kind.ordinal(), "<text>"));
        }
        return new BalancerFleet.Result(
                ended,
                violations,
                12,
                34,
                List.of(new ProcessSample(500_000, "b0", 99, 0.25, 180.5, 64)),
                List.of(new UpstreamSample(500_000, "u0", 1_250.5)));
    }

    private List<String> record() throws Exception {
        Experiment experiment = Experiment.read(ALL_KEYS);
        Path file = folder.resolve("record.jsonl");
        RunRecord.write(file, experiment, FaultTimeline.plan(experiment), result());
        return Files.readAllLines(file);
    }

    @Test
    void anExperimentWithAllKeysIsReadAsBefore() throws Exception {
        Experiment e = Experiment.read(ALL_KEYS);
        assertEquals("all keys", e.name());
        assertEquals(42, e.seed());
        assertEquals(3, e.plays());
        assertEquals(12_500_000, e.micros());
        assertEquals(4, e.balancers());
        assertEquals(6, e.upstreams());
        assertEquals(new Experiment.TrafficPart(50.5, 300, 0.9, 1, 80.5), e.traffic());
        assertEquals(new Experiment.ExpectPart(2, 0.75, 1.5), e.expect());
    }

    @Test
    void theClassesOfRequestsAreReadAsBefore() throws Exception {
        assertEquals(
                List.of(
                        new RequestClass(
                                "look", Repeat.FREE, 0.6, 41_000, 601_000, 1_501_000, 2, 3_001_000),
                        new RequestClass(
                                "book",
                                Repeat.KEYED,
                                0.4,
                                121_000,
                                2_501_000,
                                5_001_000,
                                10,
                                3_002_000)),
                Experiment.read(ALL_KEYS).theClasses());
    }

    @Test
    void theRulesAreReadAsBefore() throws Exception {
        assertEquals(
                new Rules(501_000, 2_001_000, 0.31, 8_001_000, 2.6, 1_001_000),
                Experiment.read(ALL_KEYS).theRules());
    }

    @Test
    void theMachinesOfUpstreamsAreReadAsBefore() throws Exception {
        var kind = Experiment.read(ALL_KEYS).kind();
        assertEquals(3, kind.cores());
        assertEquals(1.5, kind.speed());
        assertEquals(41, kind.queue());
        assertEquals(1_001, kind.connections());
        assertEquals(0.01, kind.errorChance());
    }

    @Test
    void whatAnExperimentLeavesOutHasTheSameValues() throws Exception {
        Experiment e = Experiment.read(FEWEST_KEYS);
        assertEquals(1, e.plays());
        assertEquals(new Rules(500_000, 2_000_000, 0.3, 8_000_000, 2.5, 1_000_000), e.theRules());
        assertEquals(
                List.of(
                        new RequestClass(
                                "look", Repeat.FREE, 1, 40_000, 600_000, 1_500_000, 1, 3_000_000)),
                e.theClasses());
    }

    @Test
    void eachKindOfFaultTakesItsPlaceInTheTimeline() throws Exception {
        FaultPlan plan = FaultTimeline.plan(Experiment.read(ALL_KEYS));
        assertEquals(
                List.of(
                        1_000_000L,
                        1_010_000L,
                        2_000_000L,
                        3_000_000L,
                        4_000_000L,
                        5_000_000L,
                        6_000_000L,
                        6_000_000L,
                        7_000_000L,
                        8_000_000L,
                        9_000_000L,
                        10_000_000L),
                plan.steps().stream().map(FaultPlan.Step::at).toList());
    }

    /** Lines of more than one key have them in no order, so they are compared as JSON. */
    @Test
    void theRecordOfAPlayHasTheSameFields() throws Exception {
        List<String> golden = Files.readAllLines(GOLDEN.resolve("record.jsonl"));
        List<String> written = record();
        assertEquals(golden.size(), written.size());
        for (int i = 0; i < golden.size(); i++) {
            JsonNode expected = JSON.readTree(golden.get(i));
            assertEquals(expected, JSON.readTree(written.get(i)), "line " + (i + 1));
        }
    }

    @Test
    void theRecordOfARequestHasItsFieldsInTheSameOrder() throws Exception {
        assertTrue(
                record().contains(
                                "{\"at\":0,\"class\":\"look\",\"outcome\":\"SERVED\","
                                        + "\"took\":50000,"
                                        + "\"tries\":1,\"late\":100}"));
    }

    @Test
    void theLineOfFiguresIsWordedAsBefore() throws Exception {
        Verdict verdict = Verdict.of(Experiment.read(ALL_KEYS), result());
        String golden = Files.readString(GOLDEN.resolve("verdict.txt"), StandardCharsets.UTF_8);
        assertEquals(golden.strip(), verdict.line());
    }

    @Test
    void theReportHasTheSameHeadingsInTheSameOrder() throws Exception {
        Experiment experiment = Experiment.read(ALL_KEYS);
        Path file = folder.resolve("report.html");
        BalancerFleet.Result result = result();
        Verdict verdict = Verdict.of(experiment, result);
        Report.write(file, experiment, FaultTimeline.plan(experiment), result, verdict);
        String page = Files.readString(file).replaceAll("base64,[^\"'> ]*", "base64,");
        String golden = Files.readString(GOLDEN.resolve("report.html"));
        assertEquals(
                Arrays.asList(golden.strip().split("\n")), Arrays.asList(page.strip().split("\n")));
    }
}
