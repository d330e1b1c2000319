package myrtleladder.exhaustion;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A control process and a balancer with a small heap and low limits, and one upstream in this
 * process. A process that has ended is started again by {@link #ensureRunning}.
 */
final class ExhaustionFleet implements AutoCloseable {
    /** Largest request body that the configuration allows. */
    static final int MAX_BODY_BYTES = 1_024 * 1_024;

    /** Memory of each machine: the most that a process may have resident. */
    static final int MACHINE_MEMORY_MB = 160;

    /** Descriptors of each machine. */
    static final int MACHINE_DESCRIPTORS = 600;

    /** Path of requests that the upstream answers at once. */
    static final String ORDINARY_TARGET = "/a/x";

    /** Path of requests that the upstream answers after {@link #SLOW_ANSWER_MS}. */
    static final String SLOW_TARGET = "/a/slow";

    /** Path of requests that are answered with a stream of {@link #LARGE_ANSWER_BYTES}. */
    static final String LARGE_ANSWER_TARGET = "/s/large";

    private static final int CONTROL_PORT = 8367;
    private static final int FRONTEND_PORT = 8360;
    private static final int READINESS_PORT = 8365;
    private static final int INTERNAL_PORT = 7500;
    private static final int UPSTREAM_PORT = 8080;
    private static final long SLOW_ANSWER_MS = 2_000;
    private static final int LARGE_ANSWER_BYTES = 4 * 1_024 * 1_024;
    private static final int EVENT_BYTES = 16 * 1_024;
    private static final long HEARTBEAT_MS = 500;

    /** How long an ordinary caller retries; allows for an overloaded machine. */
    private static final Duration PATIENCE = Duration.ofSeconds(30);

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
    private static final long RETRY_PAUSE_MS = 100;

    private static final List<String> JAVA_FLAGS =
            List.of(
                    "-Xmx32m",
                    "-Xss512k",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:+ExitOnOutOfMemoryError",
                    "-Djava.net.preferIPv4Stack=true",
                    "-Dlog4j.provider=org.apache.logging.log4j.simple.internal.SimpleProvider",
                    "-Dorg.apache.logging.log4j.simplelog.level=INFO");

    private static final String CONFIGURATION =
            """
            {"generation":1,
             "routes":[
              {"name":"a","hostname":"%1$s","path_prefix":"/a/","type":"idempotent",
               "timeout_ms":8000,"backend":"s","retries":1},
              {"name":"s","hostname":"%1$s","path_prefix":"/s/","type":"streaming",
               "timeout_ms":8000,"backend":"s","retries":1}],
             "services":[{"name":"s","max_connections":400}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":%2$d,
              "header_timeout_ms":3000,"idle_timeout_ms":15000}}
            """
                    .formatted(ip(2), MAX_BODY_BYTES);

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ExecutorService upstreamThreads = Executors.newCachedThreadPool();
    private final Path folder;
    private final HttpServer upstream;
    private Process control;
    private Process balancer;
    private int startCount;
    private volatile boolean isClosed;

    ExhaustionFleet(Path folder) throws IOException {
        this.folder = folder;
        upstream = HttpServer.create(new InetSocketAddress(ip(3), UPSTREAM_PORT), 0);
        upstream.setExecutor(upstreamThreads);
        upstream.createContext("/", this::answerUpstreamRequest);
        upstream.start();
        upstreamThreads.execute(this::sendHeartbeats);
    }

    /** A loopback address derived from the process id, so that test runs do not collide. */
    private static String ip(int machine) {
        long pid = ProcessHandle.current().pid();
        return "127." + (1 + pid / 250 % 250) + "." + (1 + pid % 250) + "." + (200 + machine);
    }

    /** Host name of all routes. */
    static String hostName() {
        return ip(2);
    }

    static InetSocketAddress frontend() {
        return new InetSocketAddress(ip(2), FRONTEND_PORT);
    }

    static InetSocketAddress readiness() {
        return new InetSocketAddress(ip(2), READINESS_PORT);
    }

    static InetSocketAddress balancerInternal() {
        return new InetSocketAddress(ip(2), INTERNAL_PORT);
    }

    static InetSocketAddress controlInternal() {
        return new InetSocketAddress(ip(1), INTERNAL_PORT);
    }

    static InetSocketAddress control() {
        return new InetSocketAddress(ip(1), CONTROL_PORT);
    }

    Process balancerProcess() {
        return balancer;
    }

    Process controlProcess() {
        return control;
    }

    /** Starts the processes that do not run, and waits until an ordinary request is served. */
    void ensureRunning() throws IOException, InterruptedException {
        if (control == null || !control.isAlive()) {
            control = start("control", 1, "control = \"%s:%d\"".formatted(ip(1), CONTROL_PORT));
            awaitStatus("the configuration", 200, configurationChange());
        }
        if (balancer == null || !balancer.isAlive()) {
            balancer =
                    start(
                            "balancer",
                            2,
                            "frontend = \"%1$s:%2$d\"\nreadiness = \"%1$s:%3$d\""
                                    .formatted(ip(2), FRONTEND_PORT, READINESS_PORT));
        }
        awaitOrdinaryAnswer();
    }

    private Process start(String role, int machine, String listen) throws IOException {
        startCount++;
        Path disk = Files.createDirectories(folder.resolve(role + "-disk-" + startCount));
        String settings =
                """
                node_name = "%1$s"
                role = "%1$s"
                ip = "%2$s"
                zone = "z"
                port_range = [%3$d,7515]
                seeds = ["%4$s:%5$d"]
                bootstrap = true
                heartbeat_ms = %6$d
                data_dir = "%7$s"
                [listen]
                %8$s
                [limits]
                memory_mb = %9$d
                max_fds = %10$d
                """
                        .formatted(
                                role,
                                ip(machine),
                                INTERNAL_PORT,
                                ip(1),
                                CONTROL_PORT,
                                HEARTBEAT_MS,
                                disk,
                                listen,
                                MACHINE_MEMORY_MB,
                                MACHINE_DESCRIPTORS);
        Path file = Files.writeString(folder.resolve(role + ".toml"), settings);
        String program = role.equals("control") ? "controlplane" : "dataplane";
        Stream<String> command =
                Stream.of(
                                Stream.of(
                                        Path.of(System.getProperty("java.home"), "bin", "java")
                                                .toString()),
                                JAVA_FLAGS.stream(),
                                Stream.of(
                                        "-cp",
                                        System.getProperty("java.class.path"),
                                        "myrtleladder." + program + ".Main",
                                        "serve"))
                        .flatMap(part -> part);
        ProcessBuilder builder = new ProcessBuilder(command.toList());
        builder.environment().put("MYRTLELADDER_CONFIG", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log(role)));
        return builder.start();
    }

    private java.io.File log(String role) {
        return folder.resolve(role + ".log").toFile();
    }

    /** Waits until the balancer answers an ordinary request. */
    void awaitOrdinaryAnswer() throws InterruptedException {
        awaitStatus("an ordinary request", 200, ordinaryRequest(1));
    }

    /** Waits until the balancer answers a request with the largest legal body. */
    void awaitAnswerToLargestRequest() throws InterruptedException {
        awaitStatus("the largest legal request", 200, ordinaryRequest(MAX_BODY_BYTES));
    }

    /** Waits until the control process answers a read of the configuration. */
    void awaitControlAnswer() throws InterruptedException {
        HttpRequest read = HttpRequest.newBuilder(uri(control(), "/config")).build();
        awaitStatus("a read of the configuration", 200, read);
    }

    /** Waits until the balancer answers the readiness check of the platform. */
    void awaitReadiness() throws InterruptedException {
        HttpRequest check = HttpRequest.newBuilder(uri(readiness(), "/readyz")).build();
        awaitStatus("the readiness check", 200, check);
    }

    private static HttpRequest ordinaryRequest(int bodySize) {
        return HttpRequest.newBuilder(uri(frontend(), ORDINARY_TARGET))
                .header("Myrtleladder-Attempt-Id", "fedcba9876543210")
                .header("Myrtleladder-Deadline-Ms", "8000")
                .timeout(CALL_TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[bodySize]))
                .build();
    }

    private static HttpRequest configurationChange() {
        return HttpRequest.newBuilder(uri(control(), "/config"))
                .header("If-Match", "0")
                .timeout(CALL_TIMEOUT)
                .PUT(HttpRequest.BodyPublishers.ofString(CONFIGURATION))
                .build();
    }

    private static URI uri(InetSocketAddress address, String path) {
        return URI.create("http://" + address.getHostString() + ":" + address.getPort() + path);
    }

    private void awaitStatus(String what, int status, HttpRequest request)
            throws InterruptedException {
        long endNs = System.nanoTime() + PATIENCE.toNanos();
        String last = "no call";
        while (System.nanoTime() < endNs) {
            try {
                int received =
                        http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
                if (received == status) {
                    return;
                }
                last = "status " + received;
            } catch (IOException e) {
                last = e.toString();
            }
            Thread.sleep(RETRY_PAUSE_MS);
        }
        throw new AssertionError(what + " was not answered, last: " + last + describe());
    }

    /** Asserts that both processes run within the memory and the descriptors of their machine. */
    void assertWithinLimits() throws IOException {
        for (Process process : List.of(control, balancer)) {
            String name = process == control ? "control" : "balancer";
            assertTrue(process.isAlive(), name + " ended" + describe());
            long peakMb = peakResidentMb(process).orElseThrow();
            assertTrue(peakMb <= MACHINE_MEMORY_MB, name + " had " + peakMb + " MB" + describe());
            long descriptors = descriptors(process);
            assertTrue(
                    descriptors <= MACHINE_DESCRIPTORS,
                    name + " had " + descriptors + " descriptors" + describe());
        }
    }

    /** Returns the most memory that a process had resident so far, see proc(5). */
    private static Optional<Long> peakResidentMb(Process process) throws IOException {
        Path status = Path.of("/proc/" + process.pid() + "/status");
        return Files.readAllLines(status).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .map(line -> Long.parseLong(line.replaceAll("\\D", "")) / 1_024)
                .findFirst();
    }

    private static long descriptors(Process process) throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return open.count();
        }
    }

    /** Returns what both processes use now, and the end of their logs. */
    String describe() {
        StringBuilder text = new StringBuilder();
        for (Process process : List.of(control, balancer)) {
            String role = process == control ? "control" : "balancer";
            try {
                text.append('\n').append(role).append(": ");
                if (process.isAlive()) {
                    text.append(peakResidentMb(process).orElse(0L)).append(" MB at most, ");
                    text.append(descriptors(process)).append(" descriptors");
                } else {
                    text.append("ended with ").append(process.exitValue());
                }
                List<String> lines = Files.readAllLines(log(role).toPath());
                lines.subList(Math.max(0, lines.size() - 8), lines.size())
                        .forEach(line -> text.append("\n  ").append(line));
            } catch (IOException e) {
                text.append(e);
            }
        }
        return text.toString();
    }

    private void sendHeartbeats() {
        for (long sequence = 1; !isClosed; sequence++) {
            String record =
                    """
                    {"backend":"s","address":"%s:%d","zone":"z","generation":"v1","capacity":64,
                     "state":"ready","warmup_left_ms":0,"sequence":%d}
                    """
                            .formatted(ip(3), UPSTREAM_PORT, sequence);
            HttpRequest heartbeat =
                    HttpRequest.newBuilder(uri(control(), "/instances/i-1"))
                            .timeout(CALL_TIMEOUT)
                            .header("Content-Type", "application/json")
                            .PUT(HttpRequest.BodyPublishers.ofString(record))
                            .build();
            try {
                http.send(heartbeat, HttpResponse.BodyHandlers.discarding());
            } catch (IOException e) {
                // the next heartbeat follows
            } catch (InterruptedException e) {
                return;
            }
            try {
                TimeUnit.MILLISECONDS.sleep(HEARTBEAT_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void answerUpstreamRequest(HttpExchange exchange) throws IOException {
        try (exchange) {
            exchange.getRequestBody().readAllBytes();
            String id = exchange.getRequestHeaders().getFirst("Myrtleladder-Attempt-Id");
            exchange.getResponseHeaders().set("Myrtleladder-Attempt-Id", String.valueOf(id));
            exchange.getResponseHeaders().set("Myrtleladder-Upstream-Signature", "1.2.3");
            if (exchange.getRequestURI().getPath().equals(SLOW_TARGET)) {
                TimeUnit.MILLISECONDS.sleep(SLOW_ANSWER_MS);
            }
            if (exchange.getRequestURI().getPath().equals(LARGE_ANSWER_TARGET)) {
                sendLargeStream(exchange);
                return;
            }
            exchange.sendResponseHeaders(200, -1);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sendLargeStream(HttpExchange exchange) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        try (OutputStream body = exchange.getResponseBody()) {
            for (int sent = 0; sent < LARGE_ANSWER_BYTES; sent += EVENT_BYTES) {
                int id = sent / EVENT_BYTES + 1;
                String event = "id: " + id + "\ndata: " + "d".repeat(EVENT_BYTES) + "\n\n";
                body.write(event.getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            }
        }
    }

    @Override
    public void close() {
        isClosed = true;
        upstream.stop(0);
        upstreamThreads.shutdownNow();
        for (Process process : new Process[] {balancer, control}) {
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }
}
