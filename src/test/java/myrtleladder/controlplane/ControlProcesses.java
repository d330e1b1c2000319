package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import myrtleladder.protocol.FleetLoads;
import myrtleladder.protocol.LoadReport;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.MessageCodec;
import myrtleladder.protocol.PollRequest;
import myrtleladder.protocol.PollResponse;
import myrtleladder.testbed.proxy.FaultProxy;

/** Control plane processes on loopback addresses, each with a directory as its disk. */
final class ControlProcesses implements AutoCloseable {
    private static final int INTERNAL_PORT = 7500;
    private static final int CONTROL_PORT = 8367;
    private static final int SEED_COUNT = 3;
    private static final int MAX_LOG_LINES = 30;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

    /** How long a process may take to stop after SIGSTOP; long enough for an overloaded machine. */
    private static final long SUSPENSION_TIMEOUT_MS = 10_000;

    private static final Duration TIMEOUT = Duration.ofSeconds(15);

    /** A view that has not changed for this long counts as stable. */
    private static final Duration VIEW_STABLE_PERIOD = Duration.ofMillis(1_500);

    /** How long processes may take to start and form a group; allows for an overloaded machine. */
    private static final Duration START_TIMEOUT = Duration.ofSeconds(45);

    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .followRedirects(HttpClient.Redirect.ALWAYS)
                    .build();
    private final Path folder;
    private final Map<String, Process> processes = new LinkedHashMap<>();

    /** The proxy between the nodes; null if they call each other directly. */
    private final FaultProxy proxy;

    private final List<String> proxiedNames;
    private final ControlTopology topology;

    ControlProcesses(Path folder) {
        this(folder, null, List.of());
    }

    /** Creates nodes; the named ones call each other through the proxy. */
    ControlProcesses(Path folder, FaultProxy proxy, List<String> proxied) {
        this(folder, proxy, proxied, new ControlTopology(proxied.size(), 1, 1, 0));
    }

    /** Creates the nodes of a topology; they call each other through the proxy. */
    ControlProcesses(Path folder, FaultProxy proxy, ControlTopology topology) {
        this(folder, proxy, topology.names(), topology);
    }

    private ControlProcesses(
            Path folder, FaultProxy proxy, List<String> proxied, ControlTopology topology) {
        this.folder = folder;
        this.proxy = proxy;
        this.proxiedNames = proxied;
        this.topology = topology;
    }

    /**
     * The address at which applications of a zone call a node: the proxy if it is in another zone.
     */
    InetSocketAddress addressFor(String zone, String name) {
        InetSocketAddress control = new InetSocketAddress(ip(name), CONTROL_PORT);
        return topology.zoneOf(name).equals(zone)
                ? control
                : proxy.stream(ControlTopology.applicationsIn(zone), name, control);
    }

    /** The settings lines with the proxy addresses at which a node calls the others. */
    private String callAddresses(String name) {
        StringBuilder section = new StringBuilder();
        for (String other : proxiedNames) {
            if (!other.equals(name)) {
                InetSocketAddress target = new InetSocketAddress(ip(other), INTERNAL_PORT);
                InetSocketAddress called = proxy.stream(name, other, target);
                section.append(
                        "\"%s:%d\" = \"127.0.0.1:%d\"\n"
                                .formatted(ip(other), INTERNAL_PORT, called.getPort()));
            }
        }
        return section.toString();
    }

    /**
     * A loopback address derived from the process id, so that concurrent test runs do not collide.
     */
    private static String ip(String name) {
        long pid = ProcessHandle.current().pid();
        int position = 150 + Integer.parseInt(name.substring(1));
        return "127." + (1 + pid / 250 % 250) + "." + (1 + pid % 250) + "." + position;
    }

    private Path diskFolder(String name) {
        return folder.resolve(name);
    }

    /** Starts a node; {@code isBootstrap} is true only for the first start of the cluster. */
    void start(String name, boolean isBootstrap) throws IOException {
        StringBuilder seeds = new StringBuilder();
        for (int i = 0; i < SEED_COUNT; i++) {
            String separator = i == 0 ? "" : ",";
            seeds.append(separator).append('"').append(ip("n" + i)).append(":8367\"");
        }
        String text =
                "node_name = \"%s\"\nrole = \"control\"\nip = \"%s\"\nzone = \"%s\"\n"
                                .formatted(name, ip(name), topology.zoneOf(name))
                        + "port_range = [%d,7515]\nseeds = [%s]\nbootstrap = %s\n"
                                .formatted(INTERNAL_PORT, seeds, isBootstrap)
                        + "heartbeat_ms = 1200\ndata_dir = \"%s\"\n".formatted(diskFolder(name))
                        + "[listen]\ncontrol = \"%s:%d\"\n".formatted(ip(name), CONTROL_PORT)
                        + "[fault_tolerance]\n"
                        + "machines = %d\nzones = %d\n"
                                .formatted(topology.toleratedMachines(), topology.toleratedZones())
                        + "[bounds]\n"
                        + "catch_up_s = 4\n"
                        + "grace_s = 8\n"
                        + "[internal.call]\n"
                        + callAddresses(name);
        Path settings = folder.resolve(name + ".toml");
        Files.writeString(settings, text);
        ProcessBuilder builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:TieredStopAtLevel=1",
                        "-XX:+UseSerialGC",
                        "-Xmx64m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "myrtleladder.controlplane.Main",
                        "serve");
        builder.environment().put("MYRTLELADDER_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        processes.put(name, builder.start());
    }

    List<String> names() {
        return new ArrayList<>(processes.keySet());
    }

    /** Sends a signal to a node's process. */
    void signal(String name, String signal) throws IOException, InterruptedException {
        String pid = Long.toString(processes.get(name).pid());
        assertTrue(new ProcessBuilder("kill", "-" + signal, pid).start().waitFor() == 0);
    }

    /**
     * Suspends a node's process and waits until all of its threads have stopped: on a busy machine
     * they run for a while after the signal was sent, and the node could still respond.
     */
    void suspend(String name) throws IOException, InterruptedException {
        signal(name, "STOP");
        Path tasks = Path.of("/proc/" + processes.get(name).pid() + "/task");
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SUSPENSION_TIMEOUT_MS);
        while (!hasStopped(tasks)) {
            assertTrue(System.nanoTime() < end, name + " has not stopped");
            Thread.sleep(1);
        }
    }

    /** Whether each thread is in state T: the field after its name in parentheses, see proc(5). */
    private static boolean hasStopped(Path tasks) throws IOException {
        try (Stream<Path> threads = Files.list(tasks)) {
            for (Path thread : threads.toList()) {
                String stat = Files.readString(thread.resolve("stat"));
                if (stat.charAt(stat.lastIndexOf(')') + 2) != 'T') {
                    return false;
                }
            }
        }
        return true;
    }

    /** Kills a node and removes it from the nodes that are called. */
    void kill(String name) throws InterruptedException {
        Process process = processes.remove(name);
        process.destroyForcibly();
        process.waitFor();
    }

    /** Kills nodes at the same time. */
    void kill(List<String> names) throws InterruptedException {
        names.forEach(name -> processes.get(name).destroyForcibly());
        for (String name : names) {
            kill(name);
        }
    }

    /** Waits for a node that was asked to terminate; false if it still runs after the time. */
    boolean hasExited(String name, long withinMs) throws InterruptedException {
        return processes.get(name).waitFor(withinMs, TimeUnit.MILLISECONDS);
    }

    /** Empties a node's disk. */
    void wipeDisk(String name) throws IOException {
        try (Stream<Path> files = Files.walk(diskFolder(name))) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** Sends an HTTP request to a node; null if there is no response. */
    HttpResponse<String> call(String name, String method, String path, String match, String body)
            throws InterruptedException {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + ip(name) + ":" + CONTROL_PORT + path))
                        .timeout(CALL_TIMEOUT)
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (!match.isEmpty()) {
            request.header("If-Match", match);
        }
        try {
            return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            return null;
        }
    }

    /** Sends an internal message to a node; null if there is no response. */
    Message sendMessage(String name, Message message) throws InterruptedException {
        URI uri = URI.create("http://" + ip(name) + ":" + INTERNAL_PORT + "/message");
        byte[] bytes = MessageCodec.encode(message);
        HttpRequest request =
                HttpRequest.newBuilder(uri)
                        .timeout(CALL_TIMEOUT)
                        .POST(HttpRequest.BodyPublishers.ofByteArray(bytes))
                        .build();
        try {
            HttpResponse<byte[]> answer =
                    http.send(request, HttpResponse.BodyHandlers.ofByteArray());
            return answer.statusCode() == 200 ? MessageCodec.decode(answer.body()) : null;
        } catch (IOException e) {
            return null;
        }
    }

    /** Polls the nodes in turn until one responds as primary with the loads of the fleet. */
    FleetLoads awaitLoads(LoadReport report) throws InterruptedException {
        long endNs = System.nanoTime() + TIMEOUT.toNanos();
        while (System.nanoTime() < endNs) {
            for (String name : names()) {
                PollRequest poll = new PollRequest();
                poll.balancer = report.balancer;
                poll.address = report.balancer + ":1";
                poll.immediate = true;
                poll.loadReport = report;
                if (sendMessage(name, poll) instanceof PollResponse reply
                        && reply.fromPrimary
                        && reply.fleetLoads.loadsKnown) {
                    return reply.fleetLoads;
                }
            }
        }
        throw new AssertionError("no primary responded with the loads of the fleet");
    }

    /** Retries the first change until it is acknowledged; allows for processes that still start. */
    void awaitFirstChange() throws InterruptedException {
        awaitChange(0, 1, START_TIMEOUT);
    }

    /** Sends a change to the nodes in turn until it is acknowledged. */
    void awaitChange(long match, long generation) throws InterruptedException {
        awaitChange(match, generation, TIMEOUT);
    }

    private void awaitChange(long match, long generation, Duration timeout)
            throws InterruptedException {
        String body = "{\"generation\":" + generation + ",\"services\":[{\"name\":\"s\"}]}";
        long endNs = System.nanoTime() + timeout.toNanos();
        String last = "no call";
        while (System.nanoTime() < endNs) {
            for (String name : names()) {
                HttpResponse<String> answer =
                        call(name, "PUT", "/config", Long.toString(match), body);
                if (answer != null && answer.statusCode() == 200) {
                    return;
                }
                last = name + " " + (answer == null ? "no response" : answer.statusCode());
            }
        }
        throw new AssertionError(
                "generation "
                        + generation
                        + " was not acknowledged, last response: "
                        + last
                        + logTails());
    }

    /** The name of the primary, empty if there is none. */
    String findLeader() throws InterruptedException {
        for (String name : names()) {
            HttpResponse<String> answer = call(name, "GET", "/status", "", "");
            if (answer != null && answer.body().contains("\"PRIMARY\"")) {
                return name;
            }
        }
        return "";
    }

    /** The names of the replicas according to the leader's status. */
    List<String> replicas() throws InterruptedException {
        String view = awaitLeaderStatus();
        return memberNames(view.substring(view.indexOf("replicas ["), view.indexOf("group [")));
    }

    /** The current view according to the leader's status. */
    String view() throws InterruptedException {
        String status = awaitLeaderStatus();
        int groupAt = status.indexOf("group [");
        return status.substring(status.indexOf("primary "), status.indexOf(']', groupAt));
    }

    /** Waits until the view has not changed for a while, and returns it. */
    String awaitStableView() throws InterruptedException {
        long endNs = System.nanoTime() + START_TIMEOUT.toNanos();
        String stableView = view();
        long sinceNs = System.nanoTime();
        while (System.nanoTime() - sinceNs < VIEW_STABLE_PERIOD.toNanos()) {
            if (System.nanoTime() > endNs) {
                throw new AssertionError("the view did not become stable in time" + logTails());
            }
            String currentView = view();
            if (!currentView.equals(stableView)) {
                stableView = currentView;
                sinceNs = System.nanoTime();
            }
        }
        return stableView;
    }

    /** Waits until all of these nodes are in the group of the leader's view. */
    void awaitMembers(List<String> members) throws InterruptedException {
        long endNs = System.nanoTime() + START_TIMEOUT.toNanos();
        while (System.nanoTime() < endNs) {
            String view = awaitLeaderStatus();
            if (memberNames(view.substring(view.indexOf("group ["))).containsAll(members)) {
                return;
            }
        }
        throw new AssertionError("not all of " + members + " were admitted in time" + logTails());
    }

    private List<String> memberNames(String members) {
        return names().stream().filter(name -> members.contains(ip(name) + ":")).toList();
    }

    /** Waits for a leader and returns its name. */
    String awaitLeader() throws InterruptedException {
        long endNs = System.nanoTime() + START_TIMEOUT.toNanos();
        while (System.nanoTime() < endNs) {
            String leader = findLeader();
            if (!leader.isEmpty()) {
                return leader;
            }
        }
        throw new AssertionError("no node became leader in time" + logTails());
    }

    /** Waits for a leader and returns the body of its status. */
    private String awaitLeaderStatus() throws InterruptedException {
        long endNs = System.nanoTime() + START_TIMEOUT.toNanos();
        while (System.nanoTime() < endNs) {
            for (String name : names()) {
                HttpResponse<String> status = call(name, "GET", "/status", "", "");
                if (status != null && status.body().contains("\"PRIMARY\"")) {
                    return status.body();
                }
            }
        }
        throw new AssertionError("no node became leader in time" + logTails());
    }

    /** Waits until a node returns the configuration. */
    String awaitConfiguration() throws InterruptedException {
        long endNs = System.nanoTime() + START_TIMEOUT.toNanos();
        while (System.nanoTime() < endNs) {
            for (String name : names()) {
                HttpResponse<String> response = call(name, "GET", "/config", "", "");
                if (response != null && response.statusCode() == 200) {
                    return response.body();
                }
            }
        }
        throw new AssertionError("no node returned a configuration in time" + logTails());
    }

    /** Waits until a node is a follower and a member of the leader's view. */
    void awaitMember(String name) throws InterruptedException {
        long endNs = System.nanoTime() + TIMEOUT.toNanos();
        while (System.nanoTime() < endNs) {
            String leader = findLeader();
            HttpResponse<String> answer =
                    leader.isEmpty() ? null : call(leader, "GET", "/status", "", "");
            HttpResponse<String> own = call(name, "GET", "/status", "", "");
            boolean listed =
                    answer != null && answer.body().contains(ip(name) + ":" + INTERNAL_PORT);
            if (listed && own != null && own.body().contains("\"FOLLOWER\"")) {
                return;
            }
        }
        throw new AssertionError(name + " was not admitted in time" + logTails());
    }

    /** The last lines of each node's log, for failure messages. */
    String logTails() {
        StringBuilder logs = new StringBuilder();
        for (String name : names()) {
            logs.append("\n-- ").append(name).append('\n');
            try {
                List<String> lines = Files.readAllLines(folder.resolve(name + ".log"));
                int first = Math.max(0, lines.size() - MAX_LOG_LINES);
                logs.append(String.join("\n", lines.subList(first, lines.size())));
            } catch (IOException e) {
                logs.append(e);
            }
        }
        return logs.toString();
    }

    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
    }
}
