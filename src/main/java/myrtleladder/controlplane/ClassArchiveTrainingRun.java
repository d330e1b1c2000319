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
import myrtleladder.eventloop.EventLoop;
import myrtleladder.eventloop.NetworkException;
import myrtleladder.http.Headers;
import myrtleladder.http.RequestHead;
import myrtleladder.process.Address;
import myrtleladder.process.InternalNetwork;
import myrtleladder.process.NodeSettings;
import myrtleladder.protocol.CachedPrompt;
import myrtleladder.protocol.LoadReport;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PollRequest;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.TallyAddition;
import myrtleladder.protocol.TallyPosition;
import myrtleladder.protocol.TallyStateSummary;
import myrtleladder.protocol.TallySyncRequest;
import myrtleladder.protocol.UpstreamLoad;
import myrtleladder.result.ResultCode;
import myrtleladder.rpc.OneCall;
import myrtleladder.rpc.PeerClient;

/**
 * Runs a control node on the loopback interface, sends it one request of each kind and ends. The
 * build uses this run to record the class data sharing (CDS) archive of the control plane, because
 * loading classes from the archive takes a fraction of the processor time.
 */
final class ClassArchiveTrainingRun {
    /** Time after which the run counts as failed. */
    private static final long TIMEOUT_MS = 10_000;

    /** Delay between two steps, and timeout of a call. */
    private static final long STEP_MS = 700;

    private static final String HOST = "127.0.0.1";
    private static final String NO_IF_MATCH = "";
    private static final String NO_BODY = "";

    /** The first configuration, with one object of each kind and most of its fields. */
    private static final String FIRST_CONFIGURATION =
            """
            {"generation":3,
             "routes":[{"name":"r","hostname":"h","path_prefix":"/a/","type":"streaming",
               "timeout_ms":8000,"traffic_split":[{"backend":"s","weight":1.5}],"retries":2,
               "resumable":true}],
             "services":[{"name":"s",
               "engine":{"capacity":64,"kv_tokens":1000,"stride":5}}],
             "limits":{"idle_timeout_ms":15000},
             "tenants":[{"name":"t","api_keys":["k"],"priority":1,"unit":"tokens",
               "plain_tokens":200,"rate_per_s":100,"burst":100}]}""";

    /** A change of the first configuration. */
    private static final String PATCH =
            """
            {"generation":5,
             "upsert":{"routes":[{"name":"q","hostname":"h","path_prefix":"/b/",
               "type":"idempotent","timeout_ms":800,"backend":"s"}]},
             "delete":{"routes":["x"]}}""";

    /** A configuration that is rejected because its generation is too low. */
    private static final String OUTDATED_CONFIGURATION = "{\"generation\":2}";

    private static final String HEARTBEAT =
            """
            {"backend":"s","address":"127.0.0.1:9","zone":"z","generation":"v1","capacity":64,
             "state":"ready","sequence":1}""";

    private static final String ADDITION = "{\"id\":\"a\",\"owner\":1}";

    private final EventLoop loop = new EventLoop();
    private final CountDownLatch done = new CountDownLatch(1);
    private final int controlPort = freePort();
    private final int internalPort = freePort();
    private final StateStore store;
    private final TallyLog tallyLog;

    private ClassArchiveTrainingRun(StateStore store, TallyLog tallyLog) {
        this.store = store;
        this.tallyLog = tallyLog;
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new NetworkException(ResultCode.NO_SOCKET, "no free port", e);
        }
    }

    /** Performs the run. Returns whether it finished in time. */
    static boolean run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("rehearsal");
        ClassArchiveTrainingRun run =
                new ClassArchiveTrainingRun(new StateStore(folder), new TallyLog(folder));
        run.start();
        return run.done.await(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void start() {
        ControlNode.start(settings(), loop, store, tallyLog);
        loop.execute(() -> loop.schedule(STEP_MS, this::sendFirstRequests));
    }

    /** Returns the settings of a group with a single member. */
    private NodeSettings settings() {
        Address self = new Address(HOST, controlPort);
        return new NodeSettings(
                "n",
                "r",
                HOST,
                "z",
                "",
                Map.of(),
                internalPort,
                List.of(self),
                true,
                200,
                "",
                null,
                null,
                self,
                0,
                0,
                new NodeSettings.Limits(256, 1_024),
                new NodeSettings.Bounds(
                        2_000, 2_000, 8_000, 0.2, 10_000, 52, 3_000, 0.1, 100, 4_000, 0, 1, 0),
                InternalNetwork.direct(new Address(HOST, internalPort)));
    }

    private void sendFirstRequests() {
        send("PUT", "/config", "0", FIRST_CONFIGURATION);
        send("PUT", "/instances/i", NO_IF_MATCH, HEARTBEAT);
        loop.schedule(STEP_MS, this::sendLaterRequests);
    }

    private void sendLaterRequests() {
        send("PATCH", "/config", "3", PATCH);
        send("PUT", "/config", "3", OUTDATED_CONFIGURATION);
        send("GET", "/config", NO_IF_MATCH, NO_BODY);
        send("POST", "/tallies/t", NO_IF_MATCH, ADDITION);
        send("GET", "/tallies/t", NO_IF_MATCH, NO_BODY);
        send("GET", "/status", NO_IF_MATCH, NO_BODY);
        send("DELETE", "/instances/i", NO_IF_MATCH, NO_BODY);
        PeerClient peers = new PeerClient(loop);
        PollRequest poll = new PollRequest();
        poll.loadReport = loadReport();
        send(peers, poll);
        QuotaRequest quota = QuotaRequest.of("t", 1);
        quota.loadReport = loadReport();
        send(peers, quota);
        send(peers, additionOfAnotherNode());
        loop.schedule(2 * STEP_MS, this::finish);
    }

    private void finish() {
        store.load();
        done.countDown();
    }

    private static TallySyncRequest additionOfAnotherNode() {
        TallyPosition position = TallyPosition.of("p", 1);
        TallyStateSummary sender =
                TallyStateSummary.of(
                        HOST + ":9", "z", "p", List.of(position), List.of(position), true);
        TallyAddition addition = TallyAddition.of("p", 1, "t", "b", 1);
        return TallySyncRequest.push(sender, List.of(addition), List.of(position));
    }

    private static LoadReport loadReport() {
        LoadReport report = new LoadReport();
        report.balancer = "e";
        report.sequence = 1;
        report.loads.add(UpstreamLoad.of(1, 1, 1));
        report.cachedPrompts.add(CachedPrompt.of(1, 1));
        return report;
    }

    private void send(PeerClient peers, Message message) {
        peers.call(HOST + ":" + internalPort, message, STEP_MS, response -> {});
    }

    private void send(String method, String path, String ifMatch, String body) {
        Headers headers = new Headers().add("Host", "h").add("Content-Type", "application/json");
        if (!ifMatch.isEmpty()) {
            headers.add("If-Match", ifMatch);
        }
        OneCall.send(
                loop,
                HOST,
                controlPort,
                new RequestHead(method, path, headers),
                body.getBytes(StandardCharsets.UTF_8));
    }
}
