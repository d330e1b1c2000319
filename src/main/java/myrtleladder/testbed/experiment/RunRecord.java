package myrtleladder.testbed.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import myrtleladder.testbed.fault.FaultPlan;
import myrtleladder.testbed.process.BalancerFleet;

/**
 * The record of a play, one JSON object a line: the experiment, faults, requests, samples, broken
 * rules.
 */
final class RunRecord {
    private static final ObjectMapper JSON = JsonMapper.builder().build();

    private RunRecord() {}

    static void write(Path file, Experiment experiment, FaultPlan plan, BalancerFleet.Result result)
            throws IOException {
        try (Writer out = Files.newBufferedWriter(file)) {
            line(out, Map.of("experiment", experiment));
            for (FaultPlan.Step step : plan.steps()) {
                line(out, Map.of("fault", step.fault().toString(), "at", step.at()));
            }
            for (BalancerFleet.Ended e : result.ended()) {
                Map<String, Object> fields = new LinkedHashMap<>();
                fields.put("at", e.arrival().at());
                fields.put("class", experiment.classes().get(e.arrival().classIndex()).name());
                fields.put("outcome", e.outcome());
                fields.put("took", e.took());
                fields.put("tries", e.tries());
                fields.put("late", e.sentLate());
                line(out, fields);
            }
            for (var sample : result.processes()) {
                line(out, Map.of("process", sample));
            }
            for (var sample : result.loads()) {
                line(out, Map.of("load", sample));
            }
            for (var violation : result.violations()) {
                line(
                        out,
                        Map.of(
                                "violation",
                                violation.kind(),
                                "at",
                                violation.at(),
                                "id",
                                violation.id(),
                                "text",
                                violation.text()));
            }
        }
    }

    private static void line(Writer out, Object value) throws IOException {
        out.write(JSON.writeValueAsString(value));
        out.write('\n');
    }
}
