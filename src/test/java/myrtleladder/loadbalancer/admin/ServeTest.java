package myrtleladder.loadbalancer.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import myrtleladder.testbed.checker.Checker.Repeat;
import myrtleladder.testbed.checker.Rules;
import myrtleladder.testbed.fake.FakeClients;
import myrtleladder.testbed.fake.FakeClients.Outcome;
import myrtleladder.testbed.fake.RequestClass;
import myrtleladder.testbed.fake.TrafficProfile;
import myrtleladder.testbed.fake.UpstreamProfile;
import myrtleladder.testbed.fault.FaultPlan;
import myrtleladder.testbed.fault.LinkFault;
import myrtleladder.testbed.process.BalancerFleet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A balancer as a process, started by the command line with a configuration of ours, under traffic.
 */
@Timeout(60)
class ServeTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final String AT = "operators are answered at /127.0.0.1:";

    @TempDir Path folder;

    /** What it counts is what clients saw, and each line that it logs is an object. */
    @Test
    void figuresAndLogLinesAreAsConfigured() throws Exception {
        Path ours =
                Files.writeString(
                        folder.resolve("ours.toml"),
                        "[log]\nformat = \"json\"\n[admin]\nlisten = \"127.0.0.1:0\"\n");
        Rules rules = new Rules(500 * MS, 2 * SECOND, 0.3, 4 * SECOND, 2.5, SECOND);
        try (BalancerFleet fleet = fleet(rules, serveCommand(ours))) {
            BalancerFleet.Result result = fleet.play(2 * SECOND, FaultPlan.QUIET);
            List<JsonNode> log = logOf("b0");
            String at =
                    log.stream()
                            .map(l -> l.get("event").asText())
                            .filter(e -> e.startsWith(AT))
                            .findFirst()
                            .orElseThrow()
                            .substring(AT.length());
            assertTrue(
                    log.stream().anyMatch(l -> l.get("subsystem").asText().equals("node")),
                    "" + log);
            String figures = get("http://127.0.0.1:" + at + "/metrics", 200);
            double seen =
                    result.ended().size()
                            * (result.part(Outcome.SERVED) + result.part(Outcome.LATE));
            double served = figure(figures, "yewyoke_answers_total{answer=\"served\"");
            assertTrue(seen > 100, "seen: " + seen);
            assertTrue(served >= seen - 0.5, served + " served, clients saw " + seen);
            assertEquals(served, figure(figures, "yewyoke_attempts_total{end=\"ok\""), 1);
            assertTrue(figure(figures, "yewyoke_requests_total") >= served, figures);
            assertEquals(3, figure(figures, "yewyoke_upstreams{"));
            get("http://127.0.0.1:" + at + "/other", 404);
        }
    }

    private static List<String> serveCommand(Path ours) {
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-Xmx96m",
                "-cp",
                System.getProperty("java.class.path"),
                "myrtleladder.loadbalancer.admin.Main",
                "serve",
                "--config",
                ours.toString());
    }

    private BalancerFleet fleet(Rules rules, List<String> command) throws Exception {
        UpstreamProfile kind =
                new UpstreamProfile(
                        2, 1, 40, 200, 5 * SECOND, 100, 0.4, SECOND / 2, SECOND / 10, 0, rules);
        TrafficProfile traffic =
                new TrafficProfile(
                        60,
                        List.of(
                                new RequestClass(
                                        "look",
                                        Repeat.FREE,
                                        1,
                                        8 * MS,
                                        600 * MS,
                                        1_500 * MS,
                                        1,
                                        0)),
                        300,
                        0.8);
        return new BalancerFleet(
                new BalancerFleet.Layout(
                        1,
                        3,
                        kind,
                        rules,
                        traffic,
                        new FakeClients.Retries(2, 0.65, 100 * MS),
                        LinkFault.NONE,
                        5,
                        0,
                        command,
                        Path.of("").toAbsolutePath(),
                        folder));
    }

    private List<JsonNode> logOf(String process) throws Exception {
        List<JsonNode> log = new ArrayList<>();
        for (String line : Files.readAllLines(folder.resolve(process + ".log"))) {
            if (!line.startsWith("SLF4J")) { // a library of the tests that the program lacks
                log.add(JsonMapper.builder().build().readTree(line));
            }
        }
        return log;
    }

    private static String get(String uri, int status) throws Exception {
        HttpResponse<String> answer =
                HttpClient.newHttpClient()
                        .send(
                                HttpRequest.newBuilder(URI.create(uri)).build(),
                                HttpResponse.BodyHandlers.ofString());
        assertEquals(status, answer.statusCode(), answer.body());
        return answer.body();
    }

    private static double figure(String figures, String name) {
        return figures.lines()
                .filter(l -> l.startsWith(name))
                .findFirst()
                .map(l -> Double.parseDouble(l.substring(l.lastIndexOf(' ') + 1)))
                .orElse(Double.NaN);
    }
}
