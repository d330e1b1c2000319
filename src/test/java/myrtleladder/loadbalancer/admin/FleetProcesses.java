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
 * Starts processes of the program as one fleet, with fault-injecting proxies between them, and
 * reads what each of them knows.
 */
final class FleetProcesses {
    static final List<String> ALL = List.of("b0", "b1", "b2", "b3", "b4");
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final ObjectMapper JSON = JsonMapper.builder().build();

    /**
     * A machine that runs all tests at once is slower than a fleet's; the figures are measured
     * elsewhere.
     */
    private static final Duration PATIENCE = Duration.ofSeconds(40);

    private static final int OK = 200;

    private final HttpClient http = HttpClient.newHttpClient();
    private final Map<String, InetSocketAddress> udp = new TreeMap<>();
    private final Map<String, String> admin = new TreeMap<>();
    private final Map<String, JsonNode> last = new TreeMap<>();
    private final Path folder;
    private final String more;
    private final List<String> options;

    /**
     * Addresses for some processes; {@code more} goes into the part on the fleet of their files.
     */
    FleetProcesses(Path folder, List<String> names, String more, String... options)
            throws IOException {
        this.folder = folder;
        this.more = more;
        this.options = List.of(options);
        for (String name : names) {
            udp.put(name, free(udp.size()));
            admin.put(name, text(free(10 + udp.size())));
        }
    }

    /** A free port of an address that only this test of this process uses. */
    private static InetSocketAddress free(int position) throws IOException {
        long pid = ProcessHandle.current().pid();
        InetAddress own =
                InetAddress.getByName(
                        "127."
                                + (1 + pid / 250 % 250)
                                + "."
                                + (1 + pid % 250)
                                + "."
                                + (100 + position));
        try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress(own, 0))) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** What is done with a fleet that runs. */
    interface Body {
        void with(BalancerFleet fleet, FaultProxy relay) throws Exception;
    }

    /** Starts all with a relay between each two of them, and ends them after. */
    void run(BalancerFleet.Layout layout, Body body) throws Exception {
        try (FaultProxy relay = new FaultProxy(5, LinkFault.NONE)) {
            for (String name : udp.keySet()) {
                configure(name, name.equals("twin") ? ALL.get(0) : name, relay);
            }
            try (BalancerFleet fleet = new BalancerFleet(layout)) {
                body.with(fleet, relay);
            }
        }
    }

    private void configure(String file, String name, FaultProxy relay) throws IOException {
        StringBuilder via = new StringBuilder();
        for (Map.Entry<String, InetSocketAddress> other : udp.entrySet()) {
            if (!other.getKey().equals(file)) {
                via.append("\"")
                        .append(text(other.getValue()))
                        .append("\" = \"")
                        .append(text(relay.datagrams(file, other.getKey(), other.getValue())))
                        .append("\"\n");
            }
        }
        Files.writeString(
                folder.resolve(file + ".toml"),
                "[log]\nformat = \"json\"\n[admin]\nlisten = \""
                        + admin.get(file)
                        + "\"\n[fleet]\nname = \"dhaka\"\nprocess = \""
                        + name
                        + "\"\nlisten = \""
                        + text(udp.get(file))
                        + "\"\nseeds = [\""
                        + text(udp.get("b0"))
                        + "\", \""
                        + text(udp.get("b1"))
                        + "\"]\nzone = \"z1\"\n"
                        + more
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
        command.addAll(options);
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

    /** The same with some upstreams and so many requests a second. */
    BalancerFleet.Layout layout(int upstreams, double perSecond) {
        Rules rules = new Rules(500 * MS, 2 * SECOND, 0.3, 4 * SECOND, 2.5, SECOND);
        UpstreamProfile kind =
                new UpstreamProfile(
                        2, 1, 40, 200, 5 * SECOND, 100, 0.4, SECOND / 2, SECOND / 10, 0, rules);
        RequestClass look =
                new RequestClass("look", Repeat.FREE, 1, 8 * MS, 600 * MS, 1_500 * MS, 1, 0);
        return new BalancerFleet.Layout(
                ALL.size(),
                upstreams,
                kind,
                rules,
                new TrafficProfile(perSecond, List.of(look), 10, 0),
                new FakeClients.Retries(0, 1, 0),
                LinkFault.NONE,
                7,
                0,
                command(),
                Path.of("").toAbsolutePath(),
                folder);
    }

    /**
     * What a process holds of a part; nothing, while it does not answer yet or is too busy for
     * that.
     */
    JsonNode look(String process, String part) throws Exception {
        JsonNode look;
        try {
            HttpResponse<String> answer =
                    http.send(
                            HttpRequest.newBuilder(
                                            URI.create("http://" + admin.get(process) + "/" + part))
                                    .timeout(PATIENCE)
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            look = JSON.readTree(answer.statusCode() == OK ? answer.body() : "{}");
        } catch (IOException e) {
            look = JSON.createObjectNode(); // it has just been killed, or is not up
        }
        last.put(process, look);
        return look;
    }

    /** Posts something to a process; what it answered, the status first. */
    String post(String process, String part, String body) throws Exception {
        HttpResponse<String> answer =
                http.send(
                        HttpRequest.newBuilder(
                                        URI.create("http://" + admin.get(process) + "/" + part))
                                .timeout(PATIENCE)
                                .POST(HttpRequest.BodyPublishers.ofString(body))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        return answer.statusCode() + " " + answer.body();
    }

    /** A figure of a process, as its metrics tell it. */
    double figure(String process, String name) throws Exception {
        return http.send(
                        HttpRequest.newBuilder(
                                        URI.create("http://" + admin.get(process) + "/metrics"))
                                .timeout(PATIENCE)
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .body()
                .lines()
                .filter(l -> l.startsWith(name + "{"))
                .mapToDouble(l -> Double.parseDouble(l.substring(l.lastIndexOf(' '))))
                .findFirst()
                .orElse(Double.NaN);
    }

    /** What a process holds of who is there. */
    JsonNode look(String process) throws Exception {
        return look(process, "members");
    }

    /** Waits until each of some processes holds what is expected. */
    void await(String what, List<String> observers, Predicate<JsonNode> expected) throws Exception {
        await(what, observers, "members", expected);
    }

    /** The same of what they hold of a part. */
    void await(String what, List<String> observers, String part, Predicate<JsonNode> expected)
            throws Exception {
        long until = System.nanoTime() + PATIENCE.toNanos();
        for (String observer : observers) {
            while (!expected.test(look(observer, part))) {
                assertTrue(
                        System.nanoTime() < until,
                        () -> what + ": " + observer + " holds " + last.get(observer));
            }
        }
    }

    /** Waits until some processes hold the same at a place of a part. */
    void awaitOne(List<String> observers, String part, String place) throws Exception {
        long until = System.nanoTime() + PATIENCE.toNanos();
        TreeSet<String> held = new TreeSet<>();
        do {
            assertTrue(System.nanoTime() < until, () -> place + " differs: " + held);
            held.clear();
            for (String observer : observers) {
                held.add(look(observer, part).at(place).toString());
            }
        } while (held.size() > 1);
    }

    static JsonNode claim(JsonNode look, String name) {
        for (JsonNode held : look.path("members")) {
            if (held.at("/claim/name").asText().equals(name)) {
                return held.get("claim");
            }
        }
        return JSON.createObjectNode();
    }

    static Predicate<JsonNode> alive(String... names) {
        return look -> {
            TreeSet<String> alive = new TreeSet<>();
            look.path("members")
                    .forEach(
                            m -> {
                                if (m.at("/claim/state").asText().equals("ALIVE")) {
                                    alive.add(m.at("/claim/name").asText());
                                }
                            });
            return alive.equals(new TreeSet<>(List.of(names)));
        };
    }

    static Predicate<JsonNode> is(String name, String state) {
        return look -> claim(look, name).path("state").asText().equals(state);
    }

    static void cut(FaultProxy relay, List<String> some, List<String> others) {
        some.forEach(
                a ->
                        others.forEach(
                                b -> {
                                    relay.bring(new Fault.Link(a, b, LinkFault.CUT));
                                    relay.bring(new Fault.Link(b, a, LinkFault.CUT));
                                }));
    }

    /** Another process that is configured with the name of the first, as after a careless copy. */
    BalancerProcess twin() throws IOException {
        Path config = folder.resolve("twin.json");
        Files.writeString(
                config,
                Files.readString(folder.resolve("b0.json"))
                        .replaceFirst(
                                "\"listen\":\"[^\"]*\"", "\"listen\":\"" + text(free(130)) + "\""));
        List<String> command = command().stream().map(a -> a.replace("{name}", "twin")).toList();
        return new BalancerProcess(
                "twin",
                free(131),
                command,
                Path.of("").toAbsolutePath(),
                config,
                folder.resolve("twin.log"));
    }

    /** What an operator sees. */
    String shown(String process) {
        StringWriter out = new StringWriter();
        Main.commandLine()
                .setOut(new PrintWriter(out, true))
                .execute("fleet", "members", "--at", admin.get(process));
        return out.toString();
    }
}
