package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import myrtleladder.http.Headers;
import myrtleladder.http.RequestHead;
import myrtleladder.protocol.AcceptViewRequest;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.HeartbeatRequest;
import myrtleladder.protocol.InFlightRequests;
import myrtleladder.protocol.InstallStateRequest;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PollRequest;
import myrtleladder.protocol.PrepareRequest;
import myrtleladder.protocol.PrepareResponse;
import myrtleladder.protocol.ReplicateRequest;
import myrtleladder.protocol.ShareInstancesRequest;
import myrtleladder.protocol.View;
import myrtleladder.replication.ManualScheduler;
import myrtleladder.replication.Replica;
import myrtleladder.replication.ReplicaOptions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The control plane's HTTP interface: paths, status codes, header fields and the names of JSON
 * fields, some compared with golden files. Operators, the platform and upstreams depend on them, so
 * they must not change.
 */
class ControlAnswersCompatibilityTest {
    private static final Path FOLDER = Path.of("src/test/resources/compatibility/answers");
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ManualScheduler clock = new ManualScheduler();
    private final List<Message> sent = new ArrayList<>();
    private ControlPlane plane;

    /** A request to the control address and its response. */
    private static final class Call extends FakeServerExchange {
        private int status;
        private Headers headers;
        private String responseBody;

        Call(String method, String path, Headers headers, String body) {
            super(
                    new RequestHead(method, path, headers),
                    body.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void respond(int code, Headers fields, byte[] bytes) {
            status = code;
            headers = fields;
            responseBody = new String(bytes, StandardCharsets.UTF_8);
        }

        @Override
        public void abort() {
            status = -1;
        }
    }

    @BeforeEach
    void start() {
        Replica replica = startNode(true);
        assertEquals(Replica.State.PRIMARY, replica.state());
    }

    private Replica startNode(boolean bootstrap) {
        List<Member> seeds =
                List.of(
                        Member.of("a:1", "a:2", ""),
                        Member.of("b:1", "b:2", ""),
                        Member.of("c:1", "c:2", ""));
        plane = new ControlPlane(clock, this::call, 1_000, 0.1, 1_000, Map.of("z", "r"));
        Replica replica =
                new Replica(
                        new ReplicaOptions(seeds.get(0), 1, bootstrap, seeds, 4_000),
                        null,
                        "s",
                        clock,
                        (state, done) -> clock.schedule(5, () -> done.accept(true)),
                        this::call,
                        plane,
                        plane::instances);
        plane.attach(replica);
        replica.start();
        clock.run(bootstrap ? 1_000 : 10);
        return replica;
    }

    private void call(String to, Message message, long timeout, Consumer<Message> answer) {
        sent.add(message);
        clock.schedule(2, () -> answer.accept(reply(to, message)));
    }

    private static Message reply(String to, Message message) {
        Member peer = Member.of(to, to.replace(":1", ":2"), "first-" + to);
        if (message instanceof PrepareRequest prepare) {
            return PrepareResponse.of(true, prepare.epoch, peer, null, List.of());
        }
        boolean known =
                message instanceof AcceptViewRequest
                        || message instanceof InstallStateRequest
                        || message instanceof ReplicateRequest
                        || message instanceof HeartbeatRequest
                        || message instanceof ShareInstancesRequest;
        return known ? AcknowledgeResponse.of(true, 0, peer) : null;
    }

    private Call send(String method, String path, Headers headers, String body) {
        Call call = new Call(method, path, headers, body);
        plane.handle(call);
        clock.run(50);
        return call;
    }

    private Call get(String path) {
        return send("GET", path, new Headers(), "");
    }

    private Call put(String match, String body) {
        return send("PUT", "/config", new Headers().add("If-Match", match), body);
    }

    private Call heartbeat(String id, String state, int sequence) {
        return send(
                "PUT",
                "/instances/" + id,
                new Headers(),
                "{'backend':'service','address':'10.0.0.1:80','zone':'z','capacity':8,"
                        + "'generation':'v7','models':[{'name':'m','generation':31}],'state':'"
                        + state
                        + "','sequence':"
                        + sequence
                        + "}");
    }

    private static void assertGolden(String file, String answer) throws IOException {
        assertEquals(
                JSON.readTree(Files.readString(FOLDER.resolve(file))).toPrettyString(),
                JSON.readTree(answer).toPrettyString());
    }

    private static void assertDocument(int status, String document, Call call) {
        assertEquals(status, call.status);
        assertEquals("application/json", call.headers.get("Content-Type"));
        assertEquals(document, call.responseBody);
    }

    @Test
    void theStatusHasTheGoldenFields() throws IOException {
        put("0", "{'generation':3}");
        heartbeat("i1", "ready", 1);
        Call call = get("/status");
        assertEquals(200, call.status);
        assertEquals("application/json", call.headers.get("Content-Type"));
        Map<String, Object> fields = JSON.readerForMapOf(Object.class).readValue(call.responseBody);
        assertEquals(
                List.of(
                        "balancers",
                        "epoch",
                        "epoch_conflicts",
                        "generation",
                        "state",
                        "upstreams",
                        "view"),
                fields.keySet().stream().sorted().toList());
        assertGolden("status.json", JSON.writeValueAsString(new TreeMap<>(fields)));
    }

    @Test
    void theStatesOfANodeKeepTheirNames() {
        assertEquals(
                List.of("JOINING", "FOLLOWER", "CANDIDATE", "PRIMARY"),
                Arrays.stream(Replica.State.values()).map(Enum::name).toList());
    }

    @Test
    void theUpgradeHasTheGoldenFields() throws IOException {
        heartbeat("i1", "ready", 1);
        heartbeat("i2", "draining", 1);
        PollRequest poll = new PollRequest();
        poll.balancer = "e";
        poll.address = "e:1";
        poll.inFlightAtDraining.add(InFlightRequests.of("i2", 5));
        poll.immediate = true;
        plane.receive(poll, reply -> {});
        Call call = get("/upgrade");
        assertEquals(200, call.status);
        assertEquals("application/json", call.headers.get("Content-Type"));
        assertGolden("upgrade.json", call.responseBody);
    }

    @Test
    void eachFieldOfAnUpstreamsHeartbeatIsRead() {
        assertDocument(200, "{}", heartbeat("i1", "ready", 41));
        InstanceRecord record = plane.instances().get(0);
        assertEquals("i1", record.id);
        assertEquals("service", record.service);
        assertEquals("10.0.0.1:80", record.address);
        assertEquals("z", record.zone);
        assertEquals(8, record.capacity);
        assertEquals("v7", record.version);
        assertEquals(31, record.weightsVersion);
        assertEquals(Stage.READY, record.stage);
        assertEquals(41, record.heartbeatSequence);
    }

    @Test
    void aDrainingHeartbeatIsAcknowledgedAndRecorded() {
        assertDocument(200, "{}", heartbeat("i1", "draining", 1));
        assertEquals(Stage.DRAINING, plane.instances().get(0).stage);
    }

    @Test
    void aDepartureIsAcknowledged() {
        heartbeat("i1", "ready", 1);
        assertDocument(200, "{}", send("DELETE", "/instances/i1", new Headers(), ""));
    }

    @Test
    void aHeartbeatWithoutAServiceIsRefused() {
        assertDocument(
                400,
                "{\"error\":\"E201 CONFIGURATION_FIELD: backend is not a text\"}",
                send("PUT", "/instances/i1", new Headers(), "{'state':'ready'}"));
    }

    @Test
    void configurationIsNotFoundBeforeTheFirstChange() {
        Call call = get("/config");
        assertEquals(404, call.status);
        assertEquals("", call.responseBody);
    }

    @Test
    void aConfigurationIsAcknowledgedByItsGeneration() {
        assertDocument(200, "{\"generation\":3}", put("0", "{'generation':3}"));
    }

    @Test
    void aConfigurationIsAnsweredAsItWasSent() {
        put("0", "{'generation':3,'services':[{'name':'x'}]}");
        assertDocument(200, "{\"generation\":3,\"services\":[{\"name\":\"x\"}]}", get("/config"));
    }

    @Test
    void aPatchChangesNamedItems() {
        put("0", "{'generation':3,'services':[{'name':'x'},{'name':'y'}]}");
        Call patch =
                send(
                        "PATCH",
                        "/config",
                        new Headers().add("If-Match", "3"),
                        "{'generation':4,'upsert':{'services':[{'name':'z'}]},"
                                + "'delete':{'services':['x']}}");
        assertDocument(200, "{\"generation\":4}", patch);
        assertDocument(
                200,
                "{\"generation\":4,\"services\":[{\"name\":\"y\"},{\"name\":\"z\"}]}",
                get("/config"));
    }

    @Test
    void aStaleMatchIsRefused() {
        put("0", "{'generation':3}");
        assertDocument(
                412,
                "{\"error\":\"E208 STALE_MATCH: generation 3 is current\"}",
                put("2", "{'generation':4}"));
    }

    @Test
    void anInvalidConfigurationIsRefusedWithItsErrorCode() {
        put("0", "{'generation':3}");
        assertDocument(
                400,
                "{\"error\":\"E202 OLD_GENERATION: generation 2 is not above 3\"}",
                put("3", "{'generation':2}"));
    }

    @Test
    void anUnsupportedMethodIsRefused() {
        assertEquals(405, send("POST", "/config", new Headers(), "{}").status);
    }

    @Test
    void anUnknownPathIsNotFound() {
        assertEquals(404, get("/no-such-path").status);
    }

    @Test
    void aChangeIsStoredUnderTheSameDigest() {
        put("0", "{'generation':3}");
        // the first half of the SHA-256 of method, If-Match and body; nodes of different versions
        // compare it
        assertEquals(
                List.of("d1aa155ffbd6e3710acd9d1e7d8fc973"),
                sent.stream()
                        .filter(m -> m instanceof ReplicateRequest)
                        .map(m -> ((ReplicateRequest) m).changeDigest)
                        .distinct()
                        .toList());
    }

    @Test
    void aNodeWithoutAPrimaryAnswersWithRetryAfter() {
        startNode(false);
        Call call = get("/upgrade");
        assertEquals(503, call.status);
        assertEquals("0.2", call.headers.get("Retry-After"));
    }

    @Test
    void aFollowerRedirectsToThePrimary() {
        startNode(false);
        Member self = Member.of("a:1", "a:2", "s");
        Member primary = Member.of("b:1", "b:2", "first-b:1");
        List<Member> group = List.of(self, primary);
        plane.receive(
                AcceptViewRequest.of(View.of(9, primary, List.of(self), group, group)),
                reply -> {});
        clock.run(20);
        Call call = get("/config?x=1");
        assertEquals(307, call.status);
        assertEquals("http://b:2/config?x=1", call.headers.get("Location"));
    }
}
