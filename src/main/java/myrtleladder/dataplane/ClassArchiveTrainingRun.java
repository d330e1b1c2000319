package myrtleladder.dataplane;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import myrtleladder.configuration.Compression;
import myrtleladder.eventloop.EventLoop;
import myrtleladder.eventloop.NetworkException;
import myrtleladder.http.Headers;
import myrtleladder.http.HttpServer;
import myrtleladder.http.RequestHead;
import myrtleladder.http.ServerExchange;
import myrtleladder.process.Address;
import myrtleladder.process.InternalNetwork;
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
import myrtleladder.result.ResultCode;
import myrtleladder.rpc.MessageServer;
import myrtleladder.rpc.OneCall;

/**
 * Runs a balancer that serves a few requests on the loopback interface, with a fake control plane
 * and fake upstreams. The build uses this run to record the class data sharing (CDS) archive of the
 * data plane. The command line calls {@link #run}; all else is confined to the event loop.
 */
final class ClassArchiveTrainingRun {
    /** Maximum duration of the run. */
    private static final long TIMEOUT_MS = 10_000;

    /** Time for startup before the first request, and for the last responses to arrive. */
    private static final long STARTUP_AND_DRAIN_MS = 500;

    /** Interval between rounds of requests. */
    private static final long ROUND_INTERVAL_MS = 20;

    /** Number of rounds of requests. */
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
    private final CountDownLatch completed = new CountDownLatch(1);
    private final int controlPort = freePort();
    private final int upstreamPort = freePort();
    private final int frontendPort = freePort();
    private final int readinessPort = freePort();

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new NetworkException(ResultCode.NO_SOCKET, "no port is free", e);
        }
    }

    /** Runs on a new event loop; returns false if the run did not complete in time. */
    static boolean run() throws InterruptedException {
        ClassArchiveTrainingRun run = new ClassArchiveTrainingRun();
        run.loop.start();
        run.loop.execute(run::start);
        return run.completed.await(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void start() {
        new MessageServer(loop, HOST, controlPort, this::handleControlMessage);
        new HttpServer(loop, HOST, upstreamPort, this::handleUpstreamRequest);
        Main.startOnLoop(settings(), loop);
        for (int round = 1; round <= ROUNDS; round++) {
            loop.schedule(STARTUP_AND_DRAIN_MS + round * ROUND_INTERVAL_MS, this::sendRound);
        }
        long lastRoundMs = STARTUP_AND_DRAIN_MS + ROUNDS * ROUND_INTERVAL_MS;
        loop.schedule(lastRoundMs + STARTUP_AND_DRAIN_MS, completed::countDown);
    }

    private NodeSettings settings() {
        return new NodeSettings(
                "n",
                "r",
                HOST,
                "z",
                "",
                Map.of(),
                controlPort,
                List.of(new Address(HOST, controlPort)),
                false,
                200,
                "",
                new Address(HOST, frontendPort),
                new Address(HOST, readinessPort),
                null,
                1,
                0,
                new NodeSettings.Limits(256, 1_024),
                new NodeSettings.Bounds(
                        2_000, 2_000, 8_000, 0.2, 10_000, 52, 3_000, 0.1, 190_000, 4_000, 0, 1, 0),
                InternalNetwork.direct(new Address(HOST, freePort())));
    }

    private void handleControlMessage(Message message, Consumer<Message> callback) {
        if (message instanceof QuotaRequest request) {
            QuotaResponse quota = QuotaResponse.of(true, request.units, 0);
            quota.fleetLoads = fleetLoads();
            callback.accept(quota);
        } else if (message instanceof PollRequest request && request.generation == 0) {
            callback.accept(firstPollResponse());
        }
    }

    private PollResponse firstPollResponse() {
        PollResponse response = new PollResponse();
        response.fromPrimary = true;
        response.epoch = 1;
        response.generation = 3;
        response.document = Compression.deflate(DOCUMENT.getBytes(StandardCharsets.UTF_8));
        response.fullInstanceList = true;
        response.authoritative = true;
        response.balancerCount = 1;
        response.primaryAddress = HOST + ":" + controlPort;
        response.controlNodeAddresses = List.of(response.primaryAddress);
        response.balancerList =
                List.of(
                        BalancerAddress.of("n", HOST + ":" + controlPort),
                        BalancerAddress.of("m", HOST + ":" + controlPort));
        response.instances = List.of(instance("i", "s"), instance("j", "p"));
        response.fleetLoads = fleetLoads();
        return response;
    }

    private static FleetLoads fleetLoads() {
        FleetLoads loads = new FleetLoads();
        loads.epoch = 1;
        loads.loadsKnown = true;
        loads.promptRevision = 1;
        loads.loads.add(UpstreamLoad.of(UpstreamLoad.keyOf("i"), 1, 1));
        loads.cachedPrompts.add(CachedPrompt.of(1, UpstreamLoad.keyOf("i")));
        return loads;
    }

    private InstanceRecord instance(String id, String service) {
        return InstanceRecord.of(
                id, service, HOST + ":" + upstreamPort, "z", 64, "v1", Stage.READY, 1);
    }

    private void handleUpstreamRequest(ServerExchange exchange) {
        Headers headers =
                new Headers()
                        .add(HeaderNames.UPSTREAM_SIGNATURE, "x")
                        .add(HeaderNames.UPSTREAM_LOAD, "1,0,64")
                        .add(
                                HeaderNames.ATTEMPT_ID,
                                String.valueOf(
                                        exchange.head().headers().get(HeaderNames.ATTEMPT_ID)));
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

    private void sendRound() {
        send("/a/1", "1f:800,2b:410");
        send("/b/1", null);
        send("/c/1", null);
        OneCall.send(
                loop,
                HOST,
                readinessPort,
                new RequestHead("GET", "/readyz", new Headers().add("Host", "h")),
                NO_BYTES);
    }

    private void send(String path, String prefix) {
        Headers headers =
                new Headers()
                        .add("Host", "h")
                        .add(HeaderNames.ATTEMPT_ID, "a1b2")
                        .add(HeaderNames.DEADLINE_MS, "5000")
                        .add(HeaderNames.AUTHORIZATION, "Token k");
        if (prefix != null) {
            headers.add(HeaderNames.PROMPT_PREFIX, prefix).add(HeaderNames.TOKEN_USAGE, "1210,80");
        }
        OneCall.send(
                loop, HOST, frontendPort, new RequestHead("POST", path, headers), new byte[] {'x'});
    }
}
