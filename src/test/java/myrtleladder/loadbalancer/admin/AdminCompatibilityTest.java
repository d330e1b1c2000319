package myrtleladder.loadbalancer.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.util.concurrent.DefaultPromise;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import myrtleladder.loadbalancer.policy.Golden;
import myrtleladder.loadbalancer.server.BalancerStatus;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Pins what operators' tools read: names, labels and values of metrics, the response to each path,
 * and log lines. Dashboards, alerts and searches depend on these names.
 */
@Timeout(60)
class AdminCompatibilityTest {
    private static BalancerStatus status() {
        Map<String, Long> attempts = new LinkedHashMap<>();
        for (String end :
                new String[] {
                    "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"
                }) {
            attempts.put(end, 20L + attempts.size());
        }
        return new BalancerStatus(
                true,
                2,
                3,
                4,
                5,
                6,
                Map.of("served", 10L, "refused", 11L, "failed", 12L, "left", 13L),
                attempts);
    }

    private static AdminServer startServer(Supplier<Future<BalancerStatus>> balancer) {
        return new AdminServer(
                new InetSocketAddress("127.0.0.1", 0), "b0", balancer, null, null, null);
    }

    private static Future<BalancerStatus> completedStatus() {
        return new DefaultPromise<BalancerStatus>(GlobalEventExecutor.INSTANCE)
                .setSuccess(status());
    }

    private static HttpResponse<String> send(AdminServer admin, String method, String path)
            throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create("http://127.0.0.1:" + admin.address().getPort() + path))
                        .method(method, HttpRequest.BodyPublishers.noBody())
                        .build();
        return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void metricNamesLabelsAndValuesStay() throws Exception {
        try (AdminServer admin = startServer(AdminCompatibilityTest::completedStatus)) {
            HttpResponse<String> answer = send(admin, "GET", "/metrics");
            StringBuilder lines = new StringBuilder();
            lines.append(answer.headers().firstValue("content-type").orElse("")).append('\n');
            answer.body()
                    .lines()
                    .filter(l -> l.startsWith("yewyoke_") || l.matches("# .* yewyoke_.*"))
                    .forEach(l -> lines.append(l).append('\n'));
            Golden.assertMatches("command/metrics.txt", lines.toString());
        }
    }

    /** Each metric keeps the name that dashboards use and also has its current name. */
    @Test
    void eachMetricIsServedUnderBothNames() throws Exception {
        try (AdminServer admin = startServer(AdminCompatibilityTest::completedStatus)) {
            List<String> former = new ArrayList<>();
            List<String> names = new ArrayList<>();
            for (String line : send(admin, "GET", "/metrics").body().lines().toList()) {
                if (line.startsWith("yewyoke_")) {
                    former.add(line.substring("yewyoke_".length()));
                } else if (line.startsWith("myrtleladder_")) {
                    names.add(line.substring("myrtleladder_".length()));
                }
            }
            assertTrue(former.size() > 10, former.toString());
            assertEquals(former.stream().sorted().toList(), names.stream().sorted().toList());
        }
    }

    /** Pins only names and types of the process metrics, since their values depend on the JVM. */
    @Test
    void processMetricNamesAndTypesStay() throws Exception {
        try (AdminServer admin = startServer(AdminCompatibilityTest::completedStatus)) {
            TreeSet<String> names = new TreeSet<>();
            send(admin, "GET", "/metrics")
                    .body()
                    .lines()
                    .filter(l -> l.startsWith("# TYPE"))
                    .forEach(names::add);
            Golden.assertMatches("command/metric-types.txt", String.join("\n", names) + "\n");
        }
    }

    @Test
    void responseToEachPathStays() throws Exception {
        try (AdminServer admin = startServer(AdminCompatibilityTest::completedStatus)) {
            StringBuilder lines = new StringBuilder();
            for (String asked :
                    new String[] {
                        "GET /members",
                        "GET /agreement",
                        "GET /work",
                        "GET /other",
                        "GET /",
                        "POST /work",
                        "POST /other"
                    }) {
                HttpResponse<String> answer = send(admin, asked.split(" ")[0], asked.split(" ")[1]);
                lines.append(asked)
                        .append(": ")
                        .append(answer.statusCode())
                        .append(' ')
                        .append(answer.headers().firstValue("content-type").orElse(""))
                        .append(' ')
                        .append(answer.body());
            }
            Golden.assertMatches("command/admin-answers.txt", lines.toString());
        }
    }

    @Test
    void responseWhileEventLoopIsBusyStays() throws Exception {
        try (AdminServer admin =
                startServer(() -> new DefaultPromise<>(GlobalEventExecutor.INSTANCE))) {
            HttpResponse<String> answer = send(admin, "GET", "/metrics");
            Golden.assertMatches(
                    "command/admin-busy.txt", answer.statusCode() + " " + answer.body());
        }
    }

    @Test
    void logLineFieldsStay() throws Exception {
        StringBuilder lines = new StringBuilder();
        for (String logger :
                new String[] {
                    "myrtleladder.loadbalancer.server.Driver",
                    "myrtleladder.gossip.Core",
                    "myrtleladder.loadbalancer.policy.Balance",
                    "io.netty.Other"
                }) {
            for (Level level : new Level[] {Level.SEVERE, Level.WARNING, Level.INFO, Level.FINE}) {
                LogRecord line = new LogRecord(level, "member \"lost\"\nb3");
                line.setLoggerName(logger);
                line.setInstant(Instant.ofEpochSecond(1_700_000_000L, 123_456_000));
                line.setParameters(new Object[] {Map.of("view", 7L), Map.of("why", "silent")});
                lines.append(new JsonLogFormatter("b1").format(line).strip()).append('\n');
            }
        }
        Golden.assertMatches("command/log-lines.txt", lines.toString());
    }

    /** Pins only the JSON type of the stack trace, since its lines depend on the JVM. */
    @Test
    void logLineFieldsOfAnExceptionStay() throws Exception {
        LogRecord line = new LogRecord(Level.WARNING, "gone");
        line.setLoggerName("myrtleladder.loadbalancer.server.Driver");
        line.setInstant(Instant.ofEpochSecond(1_700_000_000L));
        line.setThrown(new IllegalStateException("cause"));
        JsonNode read =
                JsonMapper.builder().build().readTree(new JsonLogFormatter("b1").format(line));
        StringBuilder fields = new StringBuilder();
        read.fields()
                .forEachRemaining(
                        f ->
                                fields.append(f.getKey())
                                        .append(" = ")
                                        .append(
                                                f.getKey().equals("stack")
                                                        ? f.getValue().getNodeType()
                                                        : f.getValue())
                                        .append('\n'));
        Golden.assertMatches("command/log-line-exception.txt", fields.toString());
    }
}
