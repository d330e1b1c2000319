package myrtleladder.loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import myrtleladder.loadbalancer.server.RawSockets.Client;
import myrtleladder.loadbalancer.server.RawSockets.Script;
import myrtleladder.loadbalancer.server.RawSockets.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * A balancer in this process, between servers and clients on real sockets that follow a test's
 * script.
 */
abstract class LoadBalancerFixture {
    static final Script SERVE = (m, s) -> RawSockets.answer(s, "200 OK", "", "done");
    static final Script HANG = (m, s) -> {};

    private static final long LAST_ANSWERS_MS = 600_000;

    @TempDir Path folder;
    final List<AutoCloseable> started = new ArrayList<>();
    EventLoopGroup group;
    int sockets = 1024;
    String idle = "10";
    String reports = "silent";
    int balancers = 1;
    String memorySpan = "10";
    String connectTimeout = "0.25";
    String discoveryMode = "pushed";
    LoadBalancerServer node;

    /**
     * That of a balancer started with upstreams alone: it has been asked, and says nothing by
     * itself.
     */
    Server discovery;

    int sent;

    @BeforeEach
    void begin() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterEach
    void end() throws Exception {
        for (AutoCloseable c : started) {
            c.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    Server server(Script script) throws IOException {
        Server server = new Server(script);
        started.add(server);
        return server;
    }

    Client client() throws IOException {
        Client client = new Client(node.address());
        started.add(client);
        return client;
    }

    static String entry(String id, String addr, String state) {
        return "{\"id\":\""
                + id
                + "\",\"addr\":\""
                + addr
                + "\",\"zone\":\"z\",\"kind\":\"k\",\"cell\":0,"
                + "\"new\":[],\"state\":\""
                + state
                + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    static String list(int version, boolean full, String... entries) {
        return "{\"version\":"
                + version
                + ",\"full\":"
                + full
                + ",\"servers\":["
                + String.join(",", entries)
                + "]}";
    }

    static String ready(Server... upstreams) {
        return list(
                41,
                true,
                Arrays.stream(upstreams)
                        .map(u -> entry("s-" + u.addr(), u.addr(), "Ready"))
                        .toArray(String[]::new));
    }

    String serviceClass(String name, String repeat) {
        return "{\"name\":\""
                + name
                + "\",\"repeat\":\""
                + repeat
                + "\",\"dedup-scope\":\"zone\","
                + "\"memory-span-s\":"
                + memorySpan
                + ",\"aim-s\":1,\"give-up-s\":20,"
                + "\"worth\":1,\"late-worth\":0.5}";
    }

    /** Starts a balancer that knows a list and follows discovery. */
    void start(String known, Server discovery) throws Exception {
        node = Main.serve(config(known, discovery), group.next(), Transport.TCP);
        node.open();
    }

    BalancerConfig config(String known, Server discovery) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(
                file,
                "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                        + discovery.addr()
                        + "\",\"seed\":\"8c1f30d27a5be964\","
                        + "\"limits\":{\"cores\":1.0,\"sockets\":"
                        + sockets
                        + "},"
                        + "\"known\":"
                        + known
                        + ",\"settings\":{\"az\":0,\"localities\":[\"z\"],\"kinds\":[\"k\"],"
                        + "\"classes\":["
                        + serviceClass("submit", "single_shot")
                        + ","
                        + serviceClass("revise", "guarded")
                        + ","
                        + serviceClass("look", "free")
                        + "],"
                        + "\"parties\":[{\"name\":\"acme\",\"share\":1}],\"group-size\":"
                        + balancers
                        + ",\"ceilings\":{\"try-limit\":4,\"cancel\":true,\"probes\":true,\"max-open\":100,"
                        + "\"connect-timeout-s\":"
                        + connectTimeout
                        + ",\"conn-idle-s\":"
                        + idle
                        + "},\"rules\":{\"answer-slack-s\":0.02,\"drain-grace-s\":2,\"cold-s\":9,"
                        + "\"start-capacity\":0.2,\"fall-multiple\":3,\"fall-s\":1},"
                        + "\"report\":{\"names\":[\"cpu\"],\"via\":\""
                        + reports
                        + "\"},\"prices\":{},\"tick-s\":0.005,\"discovery\":\""
                        + discoveryMode
                        + "\"}}");
        return BalancerConfig.read(file);
    }

    void start(Server... upstreams) throws Exception {
        discovery = server(HANG);
        start(ready(upstreams), discovery);
        RawSockets.next(discovery.requests);
    }

    String request(String method, String cls, String left, String more) {
        return method
                + " /"
                + cls
                + "?key=k1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: id-"
                + sent++
                + "\r\nX-Service-Class: "
                + cls
                + "\r\nX-Account: acme\r\nX-Time-Left-Ms: "
                + left
                + "\r\n"
                + more
                + "Content-Length: "
                + (method.equals("GET") ? 0 : 3)
                + "\r\n\r\n"
                + (method.equals("GET") ? "" : "bid");
    }

    String submit() {
        return request("POST", "submit", "9000", "");
    }

    /**
     * The event loop while it stands still; what comes meanwhile stays in the sockets until it goes
     * on.
     */
    final class StandStill {
        private final CountDownLatch stands = new CountDownLatch(1);
        private final CountDownLatch goesOn = new CountDownLatch(1);
        private boolean asked;

        private void stand() {
            stands.countDown();
            try {
                goesOn.await(RawSockets.PATIENCE_S, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Waits until it stands still. */
        void await() throws InterruptedException {
            if (!stands.await(RawSockets.PATIENCE_S, TimeUnit.SECONDS)) {
                throw new AssertionError("the loop never stood still");
            }
        }

        void goOn() {
            goesOn.countDown();
        }
    }

    /**
     * Time is what is at stake: it passes while the loop stands still, and nothing waits for it.
     */
    static void spend(long millis) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < end) {
            Thread.onSpinWait();
        }
    }

    /** What a test does at a moment of its choice. */
    interface Action {
        void run() throws Exception;
    }

    /** Does something while the loop stands still. */
    void whileStandingStill(Action action) throws Exception {
        StandStill still = new StandStill();
        group.next().execute(still::stand);
        still.await();
        try {
            action.run();
        } finally {
            still.goOn();
        }
    }

    /**
     * Stops the loop right behind the decision to send to an upstream, and before its connection is
     * up.
     */
    StandStill standStillBehindDecisionFor(Server upstream) throws Exception {
        StandStill still = new StandStill();
        group.next()
                .submit(
                        () ->
                                node.sending()
                                        .restrain(
                                                new TrafficControl.AttemptAdmission() {
                                                    @Override
                                                    public boolean maySend(String id) {
                                                        if (id.equals("s-" + upstream.addr())
                                                                && !still.asked) {
                                                            still.asked = true;
                                                            group.next().execute(still::stand);
                                                        }
                                                        return true;
                                                    }

                                                    @Override
                                                    public void ended(
                                                            String id, boolean served, long took) {}
                                                }))
                .get();
        return still;
    }

    /**
     * Begins a stop, and stops the loop right before the first step of it: no socket is read in
     * between.
     */
    StandStill standStillBeforeDrain() throws Exception {
        StandStill still = new StandStill();
        whileStandingStill(
                () -> {
                    group.next().schedule(still::stand, 0, TimeUnit.MILLISECONDS);
                    node.drain(0, LAST_ANSWERS_MS);
                });
        still.await();
        return still;
    }

    /** Has discovery tell changes on the watch, and waits until they are in force. */
    void tellChanges(String... entries) throws Exception {
        String marker = "told-" + sent++;
        List<String> all = new ArrayList<>(List.of(entries));
        all.add(entry(marker, "127.0.0.1:1", "Terminating"));
        RawSockets.beginChunks(discovery.accepted.get(0));
        RawSockets.chunk(discovery.accepted.get(0), list(42, false, all.toArray(String[]::new)));
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(RawSockets.PATIENCE_S);
        while (group.next().submit(() -> node.sending().listed()).get().stream()
                .noneMatch(l -> l.id().equals(marker))) {
            if (System.nanoTime() > end) {
                throw new AssertionError("the list has not arrived");
            }
        }
    }

    /** Requests until an upstream has had one: it is on the list then. */
    void awaitServedBy(Server upstream) throws Exception {
        Client client = client();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(RawSockets.PATIENCE_S);
        while (upstream.requests.isEmpty()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("the list has not arrived");
            }
            assertEquals(200, client.write(submit()).read().status());
        }
    }
}
