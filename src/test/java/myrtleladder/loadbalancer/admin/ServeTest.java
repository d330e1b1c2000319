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
 * Runs a load balancer as a process, started by the command line with an operators' configuration,
 * under traffic.
 */
@Timeout(60)
class ServeTest {
    private static final long US_PER_MS = 1_000;
    private static final long US_PER_SECOND = 1_000 * US_PER_MS;
    private static final String ADDRESS_LOG_PREFIX = "operators are answered at /127.0.0.1:";

    @TempDir Path folder;

    /** Metrics match the results that clients saw, and each log line is a JSON object. */
    @Test
    void metricsMatchClientResultsAndLogIsJson() throws Exception {
        Path configuration =
                Files.writeString(
                        folder.resolve("ours.toml"),
                        "[log]\nformat = \"json\"\n[admin]\nlisten = \"127.0.0.1:0\"\n");
        Rules rules =
                new Rules(
                        500 * US_PER_MS,
                        2 * US_PER_SECOND,
                        0.3,
                        4 * US_PER_SECOND,
                        2.5,
                        US_PER_SECOND);
        try (BalancerFleet fleet = fleet(rules, serveCommand(configuration))) {
            BalancerFleet.Result result = fleet.play(2 * US_PER_SECOND, FaultPlan.QUIET);
            List<JsonNode> log = readLog("b0");
            String port =
                    log.stream()
                            .map(l -> l.get("event").asText())
                            .filter(e -> e.startsWith(ADDRESS_LOG_PREFIX))
                            .findFirst()
                            .orElseThrow()
                            .substring(ADDRESS_LOG_PREFIX.length());
            assertTrue(
                    log.stream().anyMatch(l -> l.get("subsystem").asText().equals("node")),
                    "" + log);
            String metrics = get("http://127.0.0.1:" + port + "/metrics", 200);
            double servedToClients =
                    result.ended().size()
                            * (result.part(Outcome.SERVED) + result.part(Outcome.LATE));
            double served = metric(metrics, "yewyoke_answers_total{answer=\"served\"");
            assertTrue(servedToClients > 100, "served to clients: " + servedToClients);
            assertTrue(
                    served >= servedToClients - 0.5,
                    served + " served, clients saw " + servedToClients);
            assertEquals(served, metric(metrics, "yewyoke_attempts_total{end=\"ok\""), 1);
            assertTrue(metric(metrics, "yewyoke_requests_total") >= served, metrics);
            assertEquals(3, metric(metrics, "yewyoke_upstreams{"));
            get("http://127.0.0.1:" + port + "/other", 404);
        }
    }

    private static List<String> serveCommand(Path configuration) {
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-Xmx96m",
                "-cp",
                System.getProperty("java.class.path"),
                "myrtleladder.loadbalancer.admin.Main",
                "serve",
                "--config",
                configuration.toString());
    }

    private BalancerFleet fleet(Rules rules, List<String> command) throws Exception {
        UpstreamProfile profile =
                new UpstreamProfile(
                        2,
                        1,
                        40,
                        200,
                        5 * US_PER_SECOND,
                        100,
                        0.4,
                        US_PER_SECOND / 2,
                        US_PER_SECOND / 10,
                        0,
                        rules);
        TrafficProfile traffic =
                new TrafficProfile(
                        60,
                        List.of(
                                new RequestClass(
                                        "look",
                                        Repeat.FREE,
                                        1,
                                        8 * US_PER_MS,
                                        600 * US_PER_MS,
                                        1_500 * US_PER_MS,
                                        1,
                                        0)),
                        300,
                        0.8);
        return new BalancerFleet(
                new BalancerFleet.Layout(
                        1,
                        3,
                        profile,
                        rules,
                        traffic,
                        new FakeClients.Retries(2, 0.65, 100 * US_PER_MS),
                        LinkFault.NONE,
                        5,
                        0,
                        command,
                        Path.of("").toAbsolutePath(),
                        folder));
    }

    private List<JsonNode> readLog(String process) throws Exception {
        List<JsonNode> log = new ArrayList<>();
        for (String line : Files.readAllLines(folder.resolve(process + ".log"))) {
            if (!line.startsWith(
                    "SLF4J")) { // logged by a test dependency that the program does not have
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

    private static double metric(String metrics, String name) {
        return metrics.lines()
                .filter(l -> l.startsWith(name))
                .findFirst()
                .map(l -> Double.parseDouble(l.substring(l.lastIndexOf(' ') + 1)))
                .orElse(Double.NaN);
    }
}
