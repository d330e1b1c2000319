package myrtleladder.controlplane;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import myrtleladder.io.EventLoop;
import myrtleladder.io.Headers;
import myrtleladder.io.RequestHead;
import myrtleladder.process.Address;
import myrtleladder.process.NodeSettings;
import myrtleladder.protocol.CachedPrompt;
import myrtleladder.protocol.LoadReport;
import myrtleladder.protocol.PollRequest;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.UpstreamLoad;
import myrtleladder.rpc.OneCall;
import myrtleladder.rpc.PeerClient;

/**
 * A control node that serves itself on the loopback for a moment. The build runs it to learn which
 * classes a start needs; they are kept in an archive from which they load at a fraction of the
 * processor time.
 */
final class Rehearsal {
    private static final long LONGEST = 10_000;
    private static final long STEP = 700;
    private static final String HOST = "127.0.0.1";
    private static final String DOCUMENT =
            "{\"generation\":3,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\","
                + "\"path_prefix\":\"/a/\",\"type\":\"streaming\",\"timeout_ms\":8000,"
                + "\"traffic_split\":[{"
                + "\"backend\":\"s\",\"weight\":1.5}],\"retries\":2,\"resumable\":true}],"
                + "\"services\":[{\"name\":"
                + "\"s\",\"engine\":{\"capacity\":64,\"kv_tokens\":1000,\"stride\":5}}],"
                + "\"limits\":{\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t\","
                + "\"api_keys\":[\"k\"],\"priority\":1,"
                + "\"unit\":\"tokens\",\"plain_tokens\":200,\"rate_per_s\":100,\"burst\":100}]}";
    private static final String CHANGE =
            "{\"generation\":5,\"upsert\":{\"routes\":[{\"name\":\"q\","
                    + "\"hostname\":\"h\",\"path_prefix\":\"/b/\",\"type\":\"idempotent\","
                    + "\"timeout_ms\":800,"
                    + "\"backend\":\"s\"}]},\"delete\":{\"routes\":[\"x\"]}}";
    private static final String HEARTBEAT =
            "{\"backend\":\"s\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\","
                    + "\"generation\":\"v1\",\"capacity\":64,\"state\":\"ready\",\"sequence\":1}";

    private final EventLoop loop = new EventLoop();
    private final CountDownLatch done = new CountDownLatch(1);
    private final int control = freePort();
    private final int internal = freePort();

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new StoreException(myrtleladder.io.ResultCode.NO_SOCKET, "no port is free", e);
        }
    }

    /** Serves and ends; whether all of it was served. */
    static boolean run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("rehearsal");
        Rehearsal rehearsal = new Rehearsal();
        rehearsal.begin(new GenerationStore(folder));
        return rehearsal.done.await(LONGEST, TimeUnit.MILLISECONDS);
    }

    private void begin(GenerationStore store) {
        Address self = new Address(HOST, control);
        NodeSettings settings =
                new NodeSettings(
                        "n",
                        "r",
                        HOST,
                        "z",
                        "",
                        Map.of(),
                        internal,
                        List.of(self),
                        true,
                        200,
                        "",
                        null,
                        null,
                        self,
                        0,
                        new NodeSettings.Limits(256, 1_024),
                        new NodeSettings.Bounds(
                                2_000, 2_000, 8_000, 0.2, 10_000, 52, 3_000, 0.1, 100, 4_000));
        Main.begin(settings, loop, store);
        loop.execute(() -> loop.schedule(STEP, () -> callAll(store)));
    }

    private void callAll(GenerationStore store) {
        call("PUT", "/config", "0", DOCUMENT);
        call("PUT", "/instances/i", "", HEARTBEAT);
        loop.schedule(
                STEP,
                () -> {
                    call("PATCH", "/config", "3", CHANGE);
                    call("PUT", "/config", "3", "{\"generation\":2}");
                    call("GET", "/config", "", "");
                    call("GET", "/status", "", "");
                    call("DELETE", "/instances/i", "", "");
                    PeerClient peers = new PeerClient(loop);
                    PollRequest poll = new PollRequest();
                    poll.loadReport = report();
                    peers.call(HOST + ":" + internal, poll, STEP, answer -> {});
                    QuotaRequest ask = QuotaRequest.of("t", 1);
                    ask.loadReport = report();
                    peers.call(HOST + ":" + internal, ask, STEP, answer -> {});
                    loop.schedule(
                            2 * STEP,
                            () -> {
                                store.load();
                                done.countDown();
                            });
                });
    }

    private static LoadReport report() {
        LoadReport report = new LoadReport();
        report.balancer = "e";
        report.sequence = 1;
        report.loads.add(UpstreamLoad.of(1, 1, 1));
        report.cachedPrompts.add(CachedPrompt.of(1, 1));
        return report;
    }

    private void call(String method, String path, String match, String body) {
        Headers headers = new Headers().add("Host", "h").add("Content-Type", "application/json");
        if (!match.isEmpty()) {
            headers.add("If-Match", match);
        }
        OneCall.send(
                loop,
                HOST,
                control,
                new RequestHead(method, path, headers),
                body.getBytes(StandardCharsets.UTF_8));
    }
}
