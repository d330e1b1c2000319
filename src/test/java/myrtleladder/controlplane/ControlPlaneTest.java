package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import myrtleladder.io.Headers;
import myrtleladder.io.RequestHead;
import myrtleladder.protocol.AcceptViewRequest;
import myrtleladder.protocol.AcknowledgeResponse;
import myrtleladder.protocol.HeartbeatRequest;
import myrtleladder.protocol.InFlightRequests;
import myrtleladder.protocol.InstallStateRequest;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import myrtleladder.protocol.JoinRequest;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PollRequest;
import myrtleladder.protocol.PollResponse;
import myrtleladder.protocol.PrepareRequest;
import myrtleladder.protocol.PrepareResponse;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.QuotaResponse;
import myrtleladder.protocol.ReplicateRequest;
import myrtleladder.protocol.ShareInstancesRequest;
import myrtleladder.protocol.StoredState;
import myrtleladder.replication.ManualScheduler;
import myrtleladder.replication.Replica;
import myrtleladder.replication.ReplicaOptions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The operator's orders, heartbeats of upstreams and polls at a primary whose two peers are
 * scripted.
 */
class ControlPlaneTest {
    private final ManualScheduler clock = new ManualScheduler();
    private final List<Message> sent = new ArrayList<>();
    private boolean peersAnswer = true;
    private long promisedByPeers;
    private StoredState saved;
    private ControlPlane plane;
    private Replica replica;

    /** A call at the control address and its answer. */
    private static final class Call extends WholeAnswerCall {
        int status;
        Headers headers;
        String answer;

        Call(String method, String path, String match, String body) {
            super(
                    new RequestHead(
                            method,
                            path,
                            match == null ? new Headers() : new Headers().add("If-Match", match)),
                    body.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void respond(int code, Headers fields, byte[] bytes) {
            status = code;
            headers = fields;
            answer = new String(bytes, StandardCharsets.UTF_8);
        }

        @Override
        public void abort() {
            status = -1;
        }
    }

    @BeforeEach
    void start() {
        List<Member> seeds =
                List.of(
                        Member.of("a:1", "a:2", ""),
                        Member.of("b:1", "b:2", ""),
                        Member.of("c:1", "c:2", ""));
        plane = new ControlPlane(clock, this::call, 1_000, 0.1, 1_000, Map.of("z", "r"));
        replica =
                new Replica(
                        new ReplicaOptions(seeds.get(0), 1, true, seeds, 4_000),
                        null,
                        "s",
                        clock,
                        (state, done) -> {
                            saved = state;
                            clock.schedule(5, () -> done.accept(true));
                        },
                        this::call,
                        plane,
                        plane::instances);
        plane.attach(replica);
        replica.start();
        clock.run(1_000);
        assertEquals(Replica.State.PRIMARY, replica.state());
    }

    private void call(
            String to, Message message, long timeout, java.util.function.Consumer<Message> answer) {
        sent.add(message);
        clock.schedule(
                peersAnswer ? 2 : timeout,
                () -> answer.accept(peersAnswer ? reply(to, message) : null));
    }

    private Message reply(String to, Message message) {
        Member peer = Member.of(to, to.replace(":1", ":2"), "first-" + to);
        if (message instanceof PrepareRequest prepare) {
            PrepareResponse promise = new PrepareResponse();
            promise.granted = true;
            promise.promisedEpoch = prepare.epoch;
            promise.member = peer;
            return promise;
        }
        boolean known =
                message instanceof AcceptViewRequest
                        || message instanceof InstallStateRequest
                        || message instanceof ReplicateRequest
                        || message instanceof HeartbeatRequest
                        || message instanceof ShareInstancesRequest;
        return known ? AcknowledgeResponse.of(promisedByPeers == 0, promisedByPeers, peer) : null;
    }

    private Call order(String method, String match, String body) {
        Call call = new Call(method, "/config", match, body);
        plane.handle(call);
        clock.run(50);
        return call;
    }

    private Call heartbeat(String id, String state, int sequence) {
        Call call =
                new Call(
                        "PUT",
                        "/instances/" + id,
                        null,
                        "{'backend':'s','address':'10.0.0.1:80','zone':'z',"
                                + "'capacity':8,'state':'"
                                + state
                                + "','sequence':"
                                + sequence
                                + "}");
        plane.handle(call);
        clock.run(20);
        return call;
    }

    private PollResponse poll(long generation, long epoch, long revision, boolean complete) {
        PollRequest poll = new PollRequest();
        poll.balancer = "e";
        poll.address = "e:1";
        poll.generation = generation;
        poll.epoch = epoch;
        poll.instanceRevision = revision;
        poll.hasAuthoritativeList = complete;
        PollResponse[] reply = new PollResponse[1];
        plane.receive(poll, answer -> reply[0] = (PollResponse) answer);
        return reply[0];
    }

    @Test
    void aChangeIsAcknowledgedOnceItsReplicaHasItAndReadBackWhole() {
        Call put = order("PUT", "0", "{'generation':3,'services':[{'name':'s'}]}");
        assertEquals(200, put.status);
        assertTrue(
                sent.stream().anyMatch(m -> m instanceof ReplicateRequest r && r.generation == 3));
        assertEquals(
                "{\"generation\":3,\"services\":[{\"name\":\"s\"}]}",
                order("GET", null, "").answer);
    }

    @Test
    void theSameOrderIsAcknowledgedAgainAlsoAfterLaterOnes() {
        assertEquals(200, order("PUT", "0", "{'generation':3}").status);
        assertEquals(200, order("PUT", "0", "{'generation':3}").status);
        assertEquals(
                200,
                order("PATCH", "3", "{'generation':5,'upsert':{'services':[{'name':'x'}]}}")
                        .status);
        assertEquals(200, order("PUT", "0", "{'generation':3}").status);
        assertEquals(
                "{\"generation\":5,\"services\":[{\"name\":\"x\"}]}",
                order("GET", null, "").answer);
    }

    @Test
    void ofTwoChangesOnOneVersionOneWins() {
        order("PUT", "0", "{'generation':3}");
        Call one = new Call("PUT", "/config", "3", "{'generation':5,'services':[{'name':'a'}]}");
        Call two = new Call("PUT", "/config", "3", "{'generation':5,'services':[{'name':'b'}]}");
        plane.handle(one);
        plane.handle(two);
        clock.run(100);
        assertEquals(200, one.status);
        assertEquals(412, two.status);
    }

    @Test
    void anInvalidChangeIsRefusedByNumber() {
        order("PUT", "0", "{'generation':3}");
        Call refused =
                order(
                        "PUT",
                        "3",
                        "{'generation':4,'routes':[{'name':'r','hostname':'h','path_prefix':'/',"
                                + "'backend':'none','timeout_ms':1}]}");
        assertEquals(400, refused.status);
        assertTrue(refused.answer.contains("E203 UNKNOWN_SERVICE"), refused.answer);
        assertEquals(412, order("PUT", "2", "{'generation':9}").status);
    }

    @Test
    void withoutAMajorityNothingIsAnsweredForSure() {
        order("PUT", "0", "{'generation':3}");
        peersAnswer = false;
        Call put = order("PUT", "3", "{'generation':5}");
        Call get = order("GET", null, "");
        Call stale = order("PUT", "1", "{'generation':6}");
        clock.run(4_000);
        assertEquals(503, put.status);
        assertEquals(503, get.status);
        assertEquals(503, stale.status);
        assertFalse(poll(0, 0, 0, false).fromPrimary);
    }

    @Test
    void aDeposedPrimaryRefusesNothingInItsOldEpoch() {
        order("PUT", "0", "{'generation':3}");
        promisedByPeers = 99;
        assertEquals(503, order("PUT", "1", "{'generation':9}").status);
        assertEquals(Replica.State.FOLLOWER, replica.state());
    }

    @Test
    void aDepartureIsAcknowledgedOnceAnotherNodeHasIt() {
        assertEquals(200, heartbeat("i", "ready", 1).status);
        sent.clear();
        assertEquals(200, heartbeat("i", "draining", 2).status);
        assertTrue(
                sent.stream()
                        .anyMatch(
                                m ->
                                        m instanceof ShareInstancesRequest s
                                                && s.instances.get(0).stage == Stage.DRAINING));
        peersAnswer = false;
        Call gone = new Call("DELETE", "/instances/i", null, "");
        plane.handle(gone);
        clock.run(550);
        assertEquals(503, gone.status);
    }

    @Test
    void aDepartureIsOnTheDisksOfAllReplicasBeforeItIsAcknowledged() {
        heartbeat("i", "ready", 1);
        sent.clear();
        Call gone = new Call("DELETE", "/instances/i", null, "");
        plane.handle(gone);
        clock.run(4);
        assertEquals(0, gone.status, "the disk has not synced it yet");
        clock.run(20);
        assertEquals(200, gone.status);
        assertEquals(Stage.GONE, saved.instances.get(0).stage);
        long durably =
                sent.stream()
                        .filter(m -> m instanceof ShareInstancesRequest s && s.syncRequired)
                        .count();
        assertEquals(replica.view().replicas.size() - 1, durably);
    }

    @Test
    void theDepartureOfAnUnknownUpstreamReachesWhoeverKnowsIt() {
        Call gone = new Call("DELETE", "/instances/never-heard", null, "");
        plane.handle(gone);
        clock.run(20);
        assertEquals(200, gone.status);
        assertTrue(
                sent.stream()
                        .anyMatch(
                                m ->
                                        m instanceof ShareInstancesRequest s
                                                && s.syncRequired
                                                && s.instances.get(0).id.equals("never-heard")
                                                && s.instances.get(0).stage == Stage.GONE));
        heartbeat("never-heard", "ready", 9);
        assertEquals(Stage.GONE, plane.instances().get(0).stage);
        assertTrue(upgrade().contains("\"zones\":[]"), upgrade());
    }

    @Test
    void aDrainingUpstreamStaysSoWhateverComesLate() {
        heartbeat("i", "ready", 1);
        heartbeat("i", "draining", 5);
        heartbeat("i", "ready", 4);
        heartbeat("i", "ready", 9);
        assertEquals(Stage.DRAINING, plane.instances().get(0).stage);
    }

    private String upgrade() {
        Call call = new Call("GET", "/upgrade", null, "");
        plane.handle(call);
        assertEquals(200, call.status);
        return call.answer;
    }

    private void heartbeats(int first, int count, String... ids) {
        for (int i = 0; i < count; i++) {
            for (String id : ids) {
                heartbeat(id, "ready", first + i);
            }
            clock.run(900);
        }
    }

    private void pollWith(InFlightRequests... underWay) {
        PollRequest poll = new PollRequest();
        poll.balancer = "e";
        poll.address = "e:1";
        poll.inFlightAtDraining.addAll(List.of(underWay));
        poll.immediate = true;
        plane.receive(poll, answer -> {});
    }

    @Test
    void anUpgradeIsSettledOnceNothingIsUnderWayAtUpstreamsThatLeave() {
        heartbeats(1, 6, "i1", "i2");
        assertTrue(upgrade().contains("\"settled\":true"), upgrade());
        heartbeat("i3", "ready", 1);
        assertTrue(upgrade().contains("\"without_ordinal\":1"), upgrade());
        heartbeat("i1", "draining", 9);
        pollWith(InFlightRequests.of("i1", 2));
        assertTrue(upgrade().contains("\"draining\":1"), upgrade());
        plane.handle(new Call("DELETE", "/instances/i1", null, ""));
        heartbeats(10, 1, "i2", "i3");
        pollWith(InFlightRequests.of("i1", 2));
        assertTrue(upgrade().startsWith("{\"settled\":false"), upgrade());
        assertTrue(upgrade().contains("\"under_way\":2"), upgrade());
        pollWith();
        assertTrue(upgrade().startsWith("{\"settled\":true"), upgrade());
        InstanceRecord left = record("i1");
        assertEquals(left.ordinal, record("i3").ordinal);
    }

    private InstanceRecord record(String id) {
        return plane.instances().stream().filter(r -> r.id.equals(id)).findFirst().orElseThrow();
    }

    @Test
    void aRestartOfAllKnowsTheUpstreamsAgain() {
        heartbeat("i", "ready", 1);
        heartbeat("d", "draining", 1);
        clock.run(1_000);
        ControlPlane after =
                new ControlPlane(clock, this::call, 1_000, 0.1, 1_000, Map.of("z", "r"));
        after.attach(
                new Replica(
                        new ReplicaOptions(replica.self(), 1, false, List.of(), 4_000),
                        saved,
                        "x",
                        clock,
                        (state, done) -> done.accept(true),
                        this::call,
                        after,
                        after::instances));
        assertEquals(
                List.of(Stage.READY, Stage.DRAINING),
                after.instances().stream().map(r -> r.stage).toList());
    }

    @Test
    void aPollIsHeldUntilThereIsNewsAndHearsOfItAtOnce() {
        order("PUT", "0", "{'generation':3}");
        clock.run(4_000);
        PollResponse first = poll(0, 0, 0, false);
        assertTrue(
                first.fromPrimary
                        && first.authoritative
                        && first.fullInstanceList
                        && first.document.length > 0);
        PollRequest waiting = new PollRequest();
        waiting.balancer = "e";
        waiting.address = "e:1";
        waiting.generation = 3;
        waiting.epoch = first.epoch;
        waiting.instanceRevision = first.instanceRevision;
        waiting.hasAuthoritativeList = true;
        PollResponse[] reply = new PollResponse[1];
        plane.receive(waiting, answer -> reply[0] = (PollResponse) answer);
        assertNull(reply[0]);
        heartbeat("i", "ready", 1);
        assertNotNull(reply[0]);
        assertEquals("i", reply[0].instances.get(0).id);
        assertEquals(0, reply[0].document.length);
        reply[0] = null;
        waiting.instanceRevision++;
        plane.receive(waiting, answer -> reply[0] = (PollResponse) answer);
        clock.run(600);
        assertNotNull(reply[0]);
    }

    @Test
    void quotasPollsAndHeartbeatsAreAnsweredWhileThePrimaryChangesItsView() {
        order("PUT", "0", "{'generation':3}");
        plane.receive(JoinRequest.of(Member.of("d:1", "d:2", "d")), answer -> {});
        while (replica.state() == Replica.State.PRIMARY) {
            clock.run(1);
        }
        assertEquals(Replica.State.CANDIDATE, replica.state());
        QuotaResponse[] grant = new QuotaResponse[1];
        plane.receive(QuotaRequest.of("t", 5), answer -> grant[0] = (QuotaResponse) answer);
        assertTrue(grant[0].fromPrimary);
        assertTrue(poll(0, 0, 0, false).fromPrimary);
        Call beat = heartbeat("i", "ready", 1);
        assertEquals(200, beat.status);
        clock.run(100);
        peersAnswer = false;
        clock.run(2_000);
        plane.receive(QuotaRequest.of("t", 5), answer -> grant[0] = (QuotaResponse) answer);
        assertFalse(grant[0].fromPrimary);
    }

    @Test
    void anUpstreamThatFallsSilentIsLostUntilItIsHeardAgain() {
        heartbeat("i", "ready", 1);
        heartbeat("d", "draining", 1);
        clock.run(4_000);
        assertEquals(Stage.LOST, plane.instances().get(0).stage);
        assertEquals(Stage.GONE, plane.instances().get(1).stage);
        heartbeat("i", "ready", 7);
        assertEquals(Stage.READY, plane.instances().get(0).stage);
    }

    @Test
    void aPrimaryThatWasFrozenTakesNobodyForLostBecauseOfItsOwnSilence() {
        heartbeat("i", "ready", 1);
        clock.run(3_500);
        heartbeat("i", "ready", 2);
        clock.freeze(6_000);
        clock.run(500);
        assertEquals(Stage.READY, plane.instances().get(0).stage);
    }

    @Test
    void anotherNodeNamesThePrimary() {
        assertEquals(200, order("PUT", "0", "{'generation':2}").status);
        HeartbeatRequest other =
                HeartbeatRequest.of(
                        myrtleladder.protocol.View.of(
                                50,
                                Member.of("b:1", "b:2", "first-b:1"),
                                replica.view().group,
                                replica.view().group,
                                replica.view().group));
        plane.receive(other, answer -> {});
        clock.run(20);
        Call put = order("PUT", "0", "{'generation':3}");
        assertEquals(307, put.status);
        assertEquals("http://b:2/config", put.headers.get("Location"));
    }
}
