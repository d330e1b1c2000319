package yewyoke.command;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.ConnectException;
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
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import yewyoke.lab.check.Checker.Repeat;
import yewyoke.lab.check.Rules;
import yewyoke.lab.fault.Fault;
import yewyoke.lab.fault.LinkFault;
import yewyoke.lab.play.BalancerProcess;
import yewyoke.lab.play.Fleet;
import yewyoke.lab.relay.Relay;
import yewyoke.lab.stand.Clients;
import yewyoke.lab.stand.RequestClass;
import yewyoke.lab.stand.Traffic;
import yewyoke.lab.stand.UpstreamKind;

/** Five processes of the program that know each other by UDP, with faults between them. */
@Timeout(120)
class FleetOfProcessesTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final ObjectMapper JSON = JsonMapper.builder().build();
    private static final List<String> ALL = List.of("b0", "b1", "b2", "b3", "b4");
    /** A machine that runs all tests at once is slower than a fleet's; the figures are measured elsewhere. */
    private static final Duration PATIENCE = Duration.ofSeconds(20);

    private final HttpClient http = HttpClient.newHttpClient();
    private final Map<String, InetSocketAddress> udp = new TreeMap<>();
    private final Map<String, String> admin = new TreeMap<>();
    private final Map<String, JsonNode> last = new TreeMap<>();
    @TempDir Path folder;

    /** A free port of an address that only this test of this process uses. */
    private static InetSocketAddress free(int position) throws IOException {
        long pid = ProcessHandle.current().pid();
        InetAddress own = InetAddress.getByName(
                "127." + (1 + pid / 250 % 250) + "." + (1 + pid % 250) + "." + (100 + position));
        try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress(own, 0))) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private void configure(String file, String name, Relay relay) throws IOException {
        StringBuilder via = new StringBuilder();
        for (Map.Entry<String, InetSocketAddress> other : udp.entrySet()) {
            if (!other.getKey().equals(file)) {
                via.append("\"").append(text(other.getValue())).append("\" = \"").append(text(
                        relay.datagrams(file, other.getKey(), other.getValue()))).append("\"\n");
            }
        }
        Files.writeString(folder.resolve(file + ".toml"), "[log]\nformat = \"json\"\n[admin]\nlisten = \""
                + admin.get(file) + "\"\n[fleet]\nname = \"dhaka\"\nprocess = \"" + name
                + "\"\nlisten = \"" + text(udp.get(file)) + "\"\nseeds = [\"" + text(udp.get("b0"))
                + "\", \"" + text(udp.get("b1")) + "\"]\nzone = \"z1\"\n[fleet.via]\n" + via);
    }

    private List<String> command() {
        return List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xmx64m", "-cp",
                System.getProperty("java.class.path"), "yewyoke.command.Main", "serve", "--config",
                folder.resolve("{name}.toml").toString());
    }

    private Fleet.Layout layout() {
        Rules rules = new Rules(500 * MS, 2 * SECOND, 0.3, 4 * SECOND, 2.5, SECOND);
        UpstreamKind kind = new UpstreamKind(2, 1, 40, 200, 5 * SECOND, 100, 0.4, SECOND / 2, SECOND / 10, 0,
                rules);
        RequestClass look = new RequestClass("look", Repeat.FREE, 1, 8 * MS, 600 * MS, 1_500 * MS, 1, 0);
        return new Fleet.Layout(ALL.size(), 2, kind, rules, new Traffic(1, List.of(look), 10, 0),
                new Clients.Retries(0, 1, 0), LinkFault.NONE, 7, 0, command(), Path.of("").toAbsolutePath(),
                folder);
    }

    /** What a process holds of its fleet; nobody, while it does not answer yet. */
    private JsonNode look(String process) throws Exception {
        String text;
        try {
            text = http.send(HttpRequest.newBuilder(URI.create("http://" + admin.get(process) + "/members"))
                    .build(), HttpResponse.BodyHandlers.ofString()).body();
        } catch (ConnectException e) {
            text = "{\"members\":[]}";
        }
        JsonNode look = JSON.readTree(text);
        last.put(process, look);
        return look;
    }

    /** Waits until each of some processes holds what is expected. */
    private void await(String what, List<String> observers, Predicate<JsonNode> expected) throws Exception {
        long until = System.nanoTime() + PATIENCE.toNanos();
        for (String observer : observers) {
            while (!expected.test(look(observer))) {
                assertTrue(System.nanoTime() < until, () -> what + ": " + observer + " holds "
                        + last.get(observer).get("members"));
            }
        }
    }

    private static JsonNode claim(JsonNode look, String name) {
        for (JsonNode held : look.get("members")) {
            if (held.at("/claim/name").asText().equals(name)) {
                return held.get("claim");
            }
        }
        return JSON.createObjectNode();
    }

    private static Predicate<JsonNode> alive(String... names) {
        return look -> {
            TreeSet<String> alive = new TreeSet<>();
            look.get("members").forEach(m -> {
                if (m.at("/claim/state").asText().equals("ALIVE")) {
                    alive.add(m.at("/claim/name").asText());
                }
            });
            return alive.equals(new TreeSet<>(List.of(names)));
        };
    }

    private static Predicate<JsonNode> is(String name, String state) {
        return look -> claim(look, name).path("state").asText().equals(state);
    }

    @Test
    void processesKnowWhoIsThereThroughKillsPausesCutsAndNamesHeldTwice() throws Exception {
        for (String name : List.of("b0", "b1", "b2", "b3", "b4", "twin")) {
            udp.put(name, free(udp.size()));
            admin.put(name, text(free(10 + udp.size())));
        }
        try (Relay relay = new Relay(5, LinkFault.NONE)) {
            for (String name : ALL) {
                configure(name, name, relay);
            }
            configure("twin", "b0", relay);
            try (Fleet fleet = new Fleet(layout())) {
                await("all are there", ALL, alive("b0", "b1", "b2", "b3", "b4"));

                long life = claim(look("b0"), "b4").get("life").asLong();
                fleet.bring(new Fault.Kill("b4"));
                await("a kill", List.of("b0", "b1", "b2", "b3"), is("b4", "DEAD"));
                fleet.bring(new Fault.Restart("b4"));
                await("a restart is another life", List.of("b0", "b1", "b2", "b3"), is("b4", "ALIVE")
                        .and(l -> claim(l, "b4").get("life").asLong() != life));

                long incarnation = claim(look("b0"), "b3").get("incarnation").asLong();
                fleet.bring(new Fault.Pause("b3"));
                await("a pause", List.of("b0", "b1", "b2", "b4"), is("b3", "DEAD"));
                fleet.bring(new Fault.Resume("b3"));
                await("after the pause", ALL, alive("b0", "b1", "b2", "b3", "b4")
                        .and(l -> claim(l, "b3").get("incarnation").asLong() > incarnation));

                ALL.stream().filter(n -> !n.equals("b2")).forEach(n ->
                        relay.bring(new Fault.Link("b2", n, LinkFault.CUT)));
                await("one that is not heard", List.of("b0", "b1", "b3", "b4"), is("b2", "DEAD"));
                relay.bring(new Fault.HealAll());
                await("heard again", ALL, alive("b0", "b1", "b2", "b3", "b4"));

                cut(relay, List.of("b0", "b1"), List.of("b2", "b3", "b4"));
                await("the smaller part", List.of("b0", "b1"), alive("b0", "b1"));
                await("the larger part", List.of("b2", "b3", "b4"), alive("b2", "b3", "b4"));
                relay.bring(new Fault.HealAll());
                await("one again", ALL, alive("b0", "b1", "b2", "b3", "b4"));

                try (BalancerProcess twin = twin()) {
                    twin.start();
                    await("a name held twice", ALL, l -> claim(l, "b0").get("rival").asBoolean());
                    twin.kill();
                    await("held once again", ALL, alive("b0", "b1", "b2", "b3", "b4")
                            .and(l -> !claim(l, "b0").get("rival").asBoolean()));
                }

                fleet.bring(new Fault.Drain("b1"));
                await("who goes says so", List.of("b0", "b2", "b3", "b4"), is("b1", "LEFT"));
                assertTrue(shown("b0").lines().anyMatch(l -> l.startsWith("b1 ") && l.contains(" left ")));
            }
        }
    }

    private static void cut(Relay relay, List<String> some, List<String> others) {
        some.forEach(a -> others.forEach(b -> {
            relay.bring(new Fault.Link(a, b, LinkFault.CUT));
            relay.bring(new Fault.Link(b, a, LinkFault.CUT));
        }));
    }

    /** Another process that is configured with the name of the first, as after a careless copy. */
    private BalancerProcess twin() throws IOException {
        Path config = folder.resolve("twin.json");
        Files.writeString(config, Files.readString(folder.resolve("b0.json"))
                .replaceFirst("\"listen\":\"[^\"]*\"", "\"listen\":\"" + text(free(30)) + "\""));
        List<String> command = command().stream().map(a -> a.replace("{name}", "twin")).toList();
        return new BalancerProcess("twin", free(31), command, Path.of("").toAbsolutePath(), config,
                folder.resolve("twin.log"));
    }

    /** What an operator sees. */
    private String shown(String process) {
        StringWriter out = new StringWriter();
        Main.line().setOut(new PrintWriter(out, true))
                .execute("fleet", "members", "--at", admin.get(process));
        return out.toString();
    }
}
