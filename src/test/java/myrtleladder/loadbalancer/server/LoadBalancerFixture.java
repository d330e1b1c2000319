package myrtleladder.loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import myrtleladder.loadbalancer.server.RawSockets.Client;
import myrtleladder.loadbalancer.server.RawSockets.Message;
import myrtleladder.loadbalancer.server.RawSockets.Script;
import myrtleladder.loadbalancer.server.RawSockets.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** Runs a balancer in this process with scripted upstreams and clients on real sockets. */
abstract class LoadBalancerFixture {
    static final Script SERVE = (m, s) -> RawSockets.respond(s, "200 OK", "", "done");
    static final Script HANG = (m, s) -> {};

    private static final long LAST_ANSWERS_MS = 600_000;

    @TempDir Path folder;
    final List<AutoCloseable> closeables = new ArrayList<>();
    EventLoopGroup eventLoops;
    final ConfigFileBuilder configFile = new ConfigFileBuilder();
    LoadBalancerServer balancer;

    /**
     * Discovery service of a balancer started with upstreams only; sends nothing unless the test
     * does.
     */
    Server discovery;

    int requestsSent;

    @BeforeEach
    void begin() {
        eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterEach
    void end() throws Exception {
        for (AutoCloseable c : closeables) {
            c.close();
        }
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** A server that follows a script, closed after the test. */
    Server server(Script script) throws IOException {
        Server server = new Server(script);
        closeables.add(server);
        return server;
    }

    /** A connection to the balancer, closed after the test. */
    Client client() throws IOException {
        Client client = new Client(balancer.address());
        closeables.add(client);
        return client;
    }

    /** An endpoint as discovery lists it. */
    static String endpointJson(String id, String addr, String state) {
        return "{\"id\":\""
                + id
                + "\",\"addr\":\""
                + addr
                + "\",\"zone\":\"z\",\"kind\":\"k\",\"cell\":0,"
                + "\"new\":[],\"state\":\""
                + state
                + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    /** An endpoint list, or changes of one, as discovery sends it. */
    static String listJson(int version, boolean full, String... entries) {
        return "{\"version\":"
                + version
                + ",\"full\":"
                + full
                + ",\"servers\":["
                + String.join(",", entries)
                + "]}";
    }

    /** A full list of ready upstreams; their ids are {@code s-} and the address. */
    static String readyListJson(Server... upstreams) {
        return listJson(
                41,
                true,
                Arrays.stream(upstreams)
                        .map(u -> endpointJson("s-" + u.address(), u.address(), "Ready"))
                        .toArray(String[]::new));
    }

    /** Starts a balancer with a known list, which follows discovery. */
    void start(String known, Server discovery) throws Exception {
        balancer =
                LoadBalancerBootstrap.bind(
                        config(known, discovery), eventLoops.next(), Transport.TCP);
        balancer.open();
    }

    /** The configuration with what the test has set in {@link #configFile}. */
    BalancerConfig config(String known, Server discovery) throws Exception {
        Path file = folder.resolve("config.json");
        return BalancerConfig.read(configFile.write(file, known, discovery.address()));
    }

    /** Starts a balancer with ready upstreams, whose watch of discovery is open. */
    void start(Server... upstreams) throws Exception {
        discovery = server(HANG);
        start(readyListJson(upstreams), discovery);
        RawSockets.next(discovery.requests);
    }

    /** A request with a unique id; additional header lines end with CR LF. */
    String request(String method, String className, String timeLeftMs, String moreHeaders) {
        return method
                + " /"
                + className
                + "?key=k1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: id-"
                + requestsSent++
                + "\r\nX-Service-Class: "
                + className
                + "\r\nX-Account: acme\r\nX-Time-Left-Ms: "
                + timeLeftMs
                + "\r\n"
                + moreHeaders
                + "Content-Length: "
                + (method.equals("GET") ? 0 : 3)
                + "\r\n\r\n"
                + (method.equals("GET") ? "" : "bid");
    }

    /** A request that must run at most once. */
    String submit() {
        return request("POST", "submit", "9000", "");
    }

    /** A stall of the event loop; input stays in the sockets until the loop is resumed. */
    static final class LoopStall {
        private final CountDownLatch hasStalled = new CountDownLatch(1);
        private final CountDownLatch resumed = new CountDownLatch(1);
        private boolean isScheduled;

        private void stall() {
            hasStalled.countDown();
            try {
                resumed.await(RawSockets.TIMEOUT_S, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Waits until the loop is stalled. */
        void await() throws InterruptedException {
            if (!hasStalled.await(RawSockets.TIMEOUT_S, TimeUnit.SECONDS)) {
                throw new AssertionError("the loop never stood still");
            }
        }

        void resume() {
            resumed.countDown();
        }
    }

    /** Lets time pass while the loop is stalled, since there is no event to wait for. */
    static void spin(long millis) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < end) {
            Thread.onSpinWait();
        }
    }

    /** A step of a test. */
    interface Action {
        void run() throws Exception;
    }

    /** Runs an action while the loop is stalled. */
    void whileLoopIsStalled(Action action) throws Exception {
        LoopStall loopStall = new LoopStall();
        eventLoops.next().execute(loopStall::stall);
        loopStall.await();
        try {
            action.run();
        } finally {
            loopStall.resume();
        }
    }

    /**
     * Stalls the loop right after the decision to send to an upstream, before the connection is
     * established.
     */
    LoopStall stallAfterPickOf(Server upstream) throws Exception {
        LoopStall loopStall = new LoopStall();
        eventLoops
                .next()
                .submit(
                        () ->
                                balancer.trafficControl()
                                        .setAdmission(
                                                new TrafficControl.AttemptAdmission() {
                                                    @Override
                                                    public boolean canSend(String id) {
                                                        if (id.equals("s-" + upstream.address())
                                                                && !loopStall.isScheduled) {
                                                            loopStall.isScheduled = true;
                                                            eventLoops
                                                                    .next()
                                                                    .execute(loopStall::stall);
                                                        }
                                                        return true;
                                                    }

                                                    @Override
                                                    public void attemptEnded(
                                                            String id,
                                                            boolean isServed,
                                                            long tookUs) {}
                                                }))
                .get();
        return loopStall;
    }

    /**
     * Begins a graceful shutdown and stalls the loop right before its first step, without a read in
     * between.
     */
    LoopStall stallBeforeDrain() throws Exception {
        LoopStall loopStall = new LoopStall();
        whileLoopIsStalled(
                () -> {
                    eventLoops.next().schedule(loopStall::stall, 0, TimeUnit.MILLISECONDS);
                    balancer.drain(0, LAST_ANSWERS_MS);
                });
        loopStall.await();
        return loopStall;
    }

    /** Sends changes from discovery on the watch, and waits until they are applied. */
    void sendChanges(String... entries) throws Exception {
        String marker = "told-" + requestsSent++;
        List<String> all = new ArrayList<>(List.of(entries));
        all.add(endpointJson(marker, "127.0.0.1:1", "Terminating"));
        RawSockets.startChunkedResponse(discovery.accepted.get(0));
        RawSockets.sendChunk(
                discovery.accepted.get(0), listJson(42, false, all.toArray(String[]::new)));
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(RawSockets.TIMEOUT_S);
        while (eventLoops
                .next()
                .submit(() -> balancer.trafficControl().listedEndpoints())
                .get()
                .stream()
                .noneMatch(l -> l.id().equals(marker))) {
            if (System.nanoTime() > end) {
                throw new AssertionError("the list has not arrived");
            }
        }
    }

    /** Sends requests until an upstream has received one, which shows that it is listed. */
    void awaitRequestAt(Server upstream) throws Exception {
        Client client = client();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(RawSockets.TIMEOUT_S);
        while (upstream.requests.isEmpty()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("the list has not arrived");
            }
            assertEquals(200, client.write(submit()).read().status());
        }
    }

    /** Asserts that a request has failed and may have run. */
    static void assertFailed(Message answer) {
        assertTrue(answer.status() >= 500, answer.start());
        assertNotEquals(503, answer.status(), "a refusal says that trying again is harmless");
    }
}
