package myrtleladder.loadbalancer.admin;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import myrtleladder.testbed.checker.Checker.Repeat;
import myrtleladder.testbed.checker.Rules;
import myrtleladder.testbed.fake.FakeClients;
import myrtleladder.testbed.fake.RequestClass;
import myrtleladder.testbed.fake.TrafficProfile;
import myrtleladder.testbed.fake.UpstreamProfile;
import myrtleladder.testbed.fault.Fault;
import myrtleladder.testbed.fault.LinkFault;
import myrtleladder.testbed.process.BalancerFleet;
import myrtleladder.testbed.process.BalancerProcess;
import myrtleladder.testbed.proxy.FaultProxy;

/**
 * Starts load balancer processes as one fleet, with a fault-injecting proxy on the links between
 * them, and queries their admin servers.
 */
final class FleetProcesses {
    static final List<String> NAMES = List.of("b0", "b1", "b2", "b3", "b4");
    private static final long US_PER_MS = 1_000;
    private static final long US_PER_SECOND = 1_000 * US_PER_MS;
    private static final ObjectMapper JSON = JsonMapper.builder().build();

    /**
     * Generous, since a machine that runs all tests at once is slow. Durations are measured
     * elsewhere.
     */
    private static final Duration TIMEOUT = Duration.ofSeconds(40);

    private static final int OK = 200;

    private final HttpClient http = HttpClient.newHttpClient();
    private final Map<String, InetSocketAddress> udpAddresses = new TreeMap<>();
    private final Map<String, String> adminAddresses = new TreeMap<>();
    private final Map<String, JsonNode> lastAnswers = new TreeMap<>();
    private final Path folder;
    private final String extraFleetSettings;
    private final List<String> jvmOptions;

    /**
     * Chooses addresses for the processes of a fleet.
     *
     * @param extraFleetSettings lines to add to the section {@code [fleet]} of their configuration
     * @param jvmOptions options to add to their command line
     */
    FleetProcesses(Path folder, List<String> names, String extraFleetSettings, String... jvmOptions)
            throws IOException {
        this.folder = folder;
        this.extraFleetSettings = extraFleetSettings;
        this.jvmOptions = List.of(jvmOptions);
        for (String name : names) {
            udpAddresses.put(name, findFreeAddress(udpAddresses.size()));
            adminAddresses.put(name, format(findFreeAddress(10 + udpAddresses.size())));
        }
    }

    /** Finds a free port on a loopback address derived from the PID, so that test JVMs differ. */
    private static InetSocketAddress findFreeAddress(int position) throws IOException {
        long pid = ProcessHandle.current().pid();
        InetAddress loopbackAddress =
                InetAddress.getByName(
                        "127."
                                + (1 + pid / 250 % 250)
                                + "."
                                + (1 + pid % 250)
                                + "."
                                + (100 + position));
        try (DatagramSocket socket =
                new DatagramSocket(new InetSocketAddress(loopbackAddress, 0))) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    private static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Steps to run against a started fleet. */
    interface Scenario {
        void run(BalancerFleet fleet, FaultProxy proxy) throws Exception;
    }

    /** Starts all processes with a proxy between each pair, runs a scenario and stops them. */
    void run(BalancerFleet.Layout layout, Scenario requestBody) throws Exception {
        try (FaultProxy proxy = new FaultProxy(5, LinkFault.NONE)) {
            for (String name : udpAddresses.keySet()) {
                configure(name, name.equals("twin") ? NAMES.get(0) : name, proxy);
            }
            try (BalancerFleet fleet = new BalancerFleet(layout)) {
                requestBody.run(fleet, proxy);
            }
        }
    }

    private void configure(String file, String name, FaultProxy proxy) throws IOException {
        StringBuilder via = new StringBuilder();
        for (Map.Entry<String, InetSocketAddress> other : udpAddresses.entrySet()) {
            if (!other.getKey().equals(file)) {
                via.append("\"")
                        .append(format(other.getValue()))
                        .append("\" = \"")
                        .append(format(proxy.datagrams(file, other.getKey(), other.getValue())))
                        .append("\"\n");
            }
        }
        Files.writeString(
                folder.resolve(file + ".toml"),
                "[log]\nformat = \"json\"\n[admin]\nlisten = \""
                        + adminAddresses.get(file)
                        + "\"\n[fleet]\nname = \"dhaka\"\nprocess = \""
                        + name
                        + "\"\nlisten = \""
                        + format(udpAddresses.get(file))
                        + "\"\nseeds = [\""
                        + format(udpAddresses.get("b0"))
                        + "\", \""
                        + format(udpAddresses.get("b1"))
                        + "\"]\nzone = \"z1\"\n"
                        + extraFleetSettings
                        + "[fleet.via]\n"
                        + via);
    }

    private List<String> command() {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:TieredStopAtLevel=1",
                                "-XX:+UseSerialGC",
                                "-Xmx64m"));
        command.addAll(jvmOptions);
        command.addAll(
                List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        "myrtleladder.loadbalancer.admin.Main",
                        "serve",
                        "--config",
                        folder.resolve("{name}.toml").toString()));
        return command;
    }

    BalancerFleet.Layout layout() {
        return layout(2, 1);
    }

    /** Same as {@link #layout()} with a number of upstreams and of requests per second. */
    BalancerFleet.Layout layout(int upstreams, double perSecond) {
        Rules rules =
                new Rules(
                        500 * US_PER_MS,
                        2 * US_PER_SECOND,
                        0.3,
                        4 * US_PER_SECOND,
                        2.5,
                        US_PER_SECOND);
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
        RequestClass status =
                new RequestClass(
                        "look",
                        Repeat.FREE,
                        1,
                        8 * US_PER_MS,
                        600 * US_PER_MS,
                        1_500 * US_PER_MS,
                        1,
                        0);
        return new BalancerFleet.Layout(
                NAMES.size(),
                upstreams,
                profile,
                rules,
                new TrafficProfile(perSecond, List.of(status), 10, 0),
                new FakeClients.Retries(0, 1, 0),
                LinkFault.NONE,
                7,
                0,
                command(),
                Path.of("").toAbsolutePath(),
                folder);
    }

    /**
     * Gets a status from a process; an empty object if the process is not reachable or does not
     * answer 200.
     */
    JsonNode status(String process, String path) throws Exception {
        JsonNode status;
        try {
            HttpResponse<String> response =
                    http.send(
                            HttpRequest.newBuilder(
                                            URI.create(
                                                    "http://"
                                                            + adminAddresses.get(process)
                                                            + "/"
                                                            + path))
                                    .timeout(TIMEOUT)
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            status = JSON.readTree(response.statusCode() == OK ? response.body() : "{}");
        } catch (IOException e) {
            status = JSON.createObjectNode(); // killed or not started yet
        }
        lastAnswers.put(process, status);
        return status;
    }

    /** Posts a request to a process and returns the response status and body. */
    String post(String process, String path, String requestBody) throws Exception {
        HttpResponse<String> response =
                http.send(
                        HttpRequest.newBuilder(
                                        URI.create(
                                                "http://"
                                                        + adminAddresses.get(process)
                                                        + "/"
                                                        + path))
                                .timeout(TIMEOUT)
                                .POST(HttpRequest.BodyPublishers.ofString(requestBody))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        return response.statusCode() + " " + response.body();
    }

    /** Returns the value of a metric of a process; NaN if it has no such metric. */
    double fetchMetric(String process, String name) throws Exception {
        return http.send(
                        HttpRequest.newBuilder(
                                        URI.create(
                                                "http://"
                                                        + adminAddresses.get(process)
                                                        + "/metrics"))
                                .timeout(TIMEOUT)
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .body()
                .lines()
                .filter(l -> l.startsWith(name + "{"))
                .mapToDouble(l -> Double.parseDouble(l.substring(l.lastIndexOf(' '))))
                .findFirst()
                .orElse(Double.NaN);
    }

    /** Gets the membership status of a process. */
    JsonNode fetchMembers(String process) throws Exception {
        return status(process, "members");
    }

    /** Waits until the membership status of each observer matches. */
    void await(String what, List<String> observers, Predicate<JsonNode> expected) throws Exception {
        await(what, observers, "members", expected);
    }

    /** Waits until the status at a path matches at each observer. */
    void await(String what, List<String> observers, String path, Predicate<JsonNode> expected)
            throws Exception {
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        for (String observer : observers) {
            while (!expected.test(status(observer, path))) {
                assertTrue(
                        System.nanoTime() < deadlineNanos,
                        () -> what + ": " + observer + " has status " + lastAnswers.get(observer));
            }
        }
    }

    /** Waits until the value at a JSON pointer of a status is the same at all observers. */
    void awaitEqual(List<String> observers, String path, String jsonPointer) throws Exception {
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        TreeSet<String> values = new TreeSet<>();
        do {
            assertTrue(
                    System.nanoTime() < deadlineNanos, () -> jsonPointer + " differs: " + values);
            values.clear();
            for (String observer : observers) {
                values.add(status(observer, path).at(jsonPointer).toString());
            }
        } while (values.size() > 1);
    }

    static JsonNode claim(JsonNode status, String name) {
        for (JsonNode values : status.path("members")) {
            if (values.at("/claim/name").asText().equals(name)) {
                return values.get("claim");
            }
        }
        return JSON.createObjectNode();
    }

    static Predicate<JsonNode> hasExactlyAlive(String... names) {
        return status -> {
            TreeSet<String> alive = new TreeSet<>();
            status.path("members")
                    .forEach(
                            m -> {
                                if (m.at("/claim/state").asText().equals("ALIVE")) {
                                    alive.add(m.at("/claim/name").asText());
                                }
                            });
            return alive.equals(new TreeSet<>(List.of(names)));
        };
    }

    static Predicate<JsonNode> hasMemberState(String name, String state) {
        return status -> claim(status, name).path("state").asText().equals(state);
    }

    static void cutLinks(FaultProxy proxy, List<String> some, List<String> others) {
        some.forEach(
                a ->
                        others.forEach(
                                b -> {
                                    proxy.bring(new Fault.Link(a, b, LinkFault.CUT));
                                    proxy.bring(new Fault.Link(b, a, LinkFault.CUT));
                                }));
    }

    /** Creates another process configured with the name of the first, as by a copied file. */
    BalancerProcess createDuplicateOfFirst() throws IOException {
        Path config = folder.resolve("twin.json");
        Files.writeString(
                config,
                Files.readString(folder.resolve("b0.json"))
                        .replaceFirst(
                                "\"listen\":\"[^\"]*\"",
                                "\"listen\":\"" + format(findFreeAddress(130)) + "\""));
        List<String> command = command().stream().map(a -> a.replace("{name}", "twin")).toList();
        return new BalancerProcess(
                "twin",
                findFreeAddress(131),
                command,
                Path.of("").toAbsolutePath(),
                config,
                folder.resolve("twin.log"));
    }

    /** Returns the output of {@code fleet members} for a process. */
    String printMembers(String process) {
        StringWriter out = new StringWriter();
        Main.commandLine()
                .setOut(new PrintWriter(out, true))
                .execute("fleet", "members", "--at", adminAddresses.get(process));
        return out.toString();
    }
}
