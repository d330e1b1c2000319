package myrtleladder.dataplane;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import myrtleladder.configuration.Compression;
import myrtleladder.io.EventLoop;
import myrtleladder.io.Headers;
import myrtleladder.io.HttpServer;
import myrtleladder.io.RequestHead;
import myrtleladder.io.ServerExchange;
import myrtleladder.process.Address;
import myrtleladder.process.NodeSettings;
import myrtleladder.protocol.BalancerAddress;
import myrtleladder.protocol.CachedPrompt;
import myrtleladder.protocol.FleetLoads;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PollRequest;
import myrtleladder.protocol.PollResponse;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.QuotaResponse;
import myrtleladder.protocol.UpstreamLoad;
import myrtleladder.rpc.MessageServer;
import myrtleladder.rpc.OneCall;

/**
 * A balancer that serves itself on the loopback for a moment, with stand-ins for the control plane
 * and for upstreams. The build runs it to learn which classes a start needs; they are kept in an
 * archive.
 */
final class Rehearsal {
    private static final long LONGEST = 10_000;
    private static final long STEP = 500;
    private static final int ROUNDS = 40;
    private static final String HOST = "127.0.0.1";
    private static final byte[] NO_BYTES = {};
    private static final String DOCUMENT =
            "{\"generation\":3,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\","
                    + "\"path_prefix\":\"/a/\",\"type\":\"streaming\",\"timeout_ms\":8000,"
                    + "\"backend\":\"s\","
                    + "\"retries\":2,\"resumable\":true,\"gap_aim_ms\":400},{\"name\":\"p\","
                    + "\"hostname\":\"h\","
                    + "\"path_prefix\":\"/b/\",\"type\":\"non_idempotent\",\"timeout_ms\":800,"
                    + "\"backend\":\"p\"}],"
                    + "\"services\":[{\"name\":\"s\",\"engine\":{\"capacity\":64,"
                    + "\"kv_tokens\":9000,\"stride\":5}},"
                    + "{\"name\":\"p\",\"max_connections\":96}],"
                    + "\"limits\":{\"idle_timeout_ms\":15000},\"tenants\":[{"
                    + "\"name\":\"t\",\"api_keys\":[\"k\"],\"priority\":1,\"unit\":\"tokens\","
                    + "\"rate_per_s\":1000,"
                    + "\"burst\":9.5}]}";

    private final EventLoop loop = new EventLoop();
    private final CountDownLatch done = new CountDownLatch(1);
    private final int control = freePort();
    private final int upstream = freePort();
    private final int frontend = freePort();
    private final int readiness = freePort();

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new myrtleladder.io.IoException(
                    myrtleladder.io.ResultCode.NO_SOCKET, "no port is free", e);
        }
    }

    /** Serves and ends; whether all of it was served. */
    static boolean run() throws InterruptedException {
        Rehearsal rehearsal = new Rehearsal();
        rehearsal.loop.start();
        rehearsal.loop.execute(rehearsal::begin);
        return rehearsal.done.await(LONGEST, TimeUnit.MILLISECONDS);
    }

    private void begin() {
        new MessageServer(loop, HOST, control, this::control);
        new HttpServer(loop, HOST, upstream, this::upstream);
        NodeSettings settings =
                new NodeSettings(
                        "n",
                        "r",
                        HOST,
                        "z",
                        "",
                        Map.of(),
                        control,
                        List.of(new Address(HOST, control)),
                        false,
                        200,
                        "",
                        new Address(HOST, frontend),
                        new Address(HOST, readiness),
                        null,
                        1,
                        new NodeSettings.Limits(256, 1_024),
                        new NodeSettings.Bounds(
                                2_000, 2_000, 8_000, 0.2, 10_000, 52, 3_000, 0.1, 190_000, 4_000));
        Main.beginOn(settings, freePort(), loop);
        for (int i = 1; i <= ROUNDS; i++) {
            loop.schedule(STEP + i * 20L, this::callAll);
        }
        loop.schedule(STEP + ROUNDS * 20L + STEP, done::countDown);
    }

    private void control(Message message, java.util.function.Consumer<Message> answer) {
        if (message instanceof QuotaRequest ask) {
            QuotaResponse grant = QuotaResponse.of(true, ask.units, 0);
            grant.fleetLoads = loads();
            answer.accept(grant);
        } else if (message instanceof PollRequest poll && poll.generation == 0) {
            PollResponse reply = new PollResponse();
            reply.fromPrimary = true;
            reply.epoch = 1;
            reply.generation = 3;
            reply.document = Compression.deflate(DOCUMENT.getBytes(StandardCharsets.UTF_8));
            reply.fullInstanceList = true;
            reply.authoritative = true;
            reply.balancerCount = 1;
            reply.primaryAddress = HOST + ":" + control;
            reply.controlNodeAddresses = List.of(reply.primaryAddress);
            reply.balancerList =
                    List.of(
                            BalancerAddress.of("n", HOST + ":" + control),
                            BalancerAddress.of("m", HOST + ":" + control));
            reply.instances = List.of(instance("i", "s"), instance("j", "p"));
            reply.fleetLoads = loads();
            answer.accept(reply);
        }
    }

    private static FleetLoads loads() {
        FleetLoads loads = new FleetLoads();
        loads.epoch = 1;
        loads.loadsKnown = true;
        loads.promptRevision = 1;
        loads.loads.add(UpstreamLoad.of(UpstreamLoad.keyOf("i"), 1, 1));
        loads.cachedPrompts.add(CachedPrompt.of(1, UpstreamLoad.keyOf("i")));
        return loads;
    }

    private InstanceRecord instance(String id, String service) {
        return InstanceRecord.of(id, service, HOST + ":" + upstream, "z", 64, "v1", Stage.READY, 1);
    }

    private void upstream(ServerExchange exchange) {
        Headers headers =
                new Headers()
                        .add(Names.SIGNATURE, "x")
                        .add(Names.LOAD, "1,0,64")
                        .add(
                                Names.ATTEMPT,
                                String.valueOf(exchange.head().headers().get(Names.ATTEMPT)));
        if (exchange.head().path().startsWith("/b/")) {
            exchange.respond(200, headers, new byte[] {'o', 'k'});
            return;
        }
        exchange.begin(200, headers.add("Content-Type", "text/event-stream"));
        for (int id = 1; id <= 3; id++) {
            byte[] event = ("id: " + id + "\ndata: x\n\n").getBytes(StandardCharsets.US_ASCII);
            exchange.write(event, 0, event.length);
        }
        exchange.end();
    }

    private void callAll() {
        call("/a/1", "1f:800,2b:410");
        call("/b/1", null);
        call("/c/1", null);
        OneCall.send(
                loop,
                HOST,
                readiness,
                new RequestHead("GET", "/readyz", new Headers().add("Host", "h")),
                NO_BYTES);
    }

    private void call(String path, String prefix) {
        Headers headers =
                new Headers()
                        .add("Host", "h")
                        .add(Names.ATTEMPT, "a1b2")
                        .add(Names.DEADLINE, "5000")
                        .add(Names.AUTHORIZATION, "Token k");
        if (prefix != null) {
            headers.add(Names.PREFIX, prefix).add(Names.USAGE, "1210,80");
        }
        OneCall.send(
                loop, HOST, frontend, new RequestHead("POST", path, headers), new byte[] {'x'});
    }
}
