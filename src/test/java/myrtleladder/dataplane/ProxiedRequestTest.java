package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import myrtleladder.dataplane.ScriptedConnectionPool.SentRequest;
import myrtleladder.http.Headers;
import myrtleladder.http.ResponseHead;
import myrtleladder.protocol.InstanceRecord.Stage;
import myrtleladder.replication.ManualScheduler;
import org.junit.jupiter.api.Test;

/** Requests from admission to their final response, with scripted upstreams and a manual clock. */
class ProxiedRequestTest {
    private static final String MODEL = "Myrtleladder-Model";

    private final DataPlaneContext context = DataPlaneContext.withRouteOfEachKind();
    private final ManualScheduler clock = context.clock;
    private final ScriptedConnectionPool connections = context.connections;
    private final DataPlane dataPlane = context.dataPlane;

    @Test
    void requestIsForwardedWithBalancerFieldsAndWithoutHopByHopFields() {
        context.send(
                "/s/1",
                HeaderNames.TENANT,
                "forged",
                "Connection",
                "X-Hop",
                "X-Hop",
                "1",
                "X-Other",
                "2",
                HeaderNames.LAST_EVENT_ID,
                "12");
        SentRequest sent = connections.lastSent();
        assertEquals("/s/1", sent.head.target());
        assertEquals("t1", sent.header(HeaderNames.TENANT));
        assertEquals(sent.upstream.record().id, sent.header(HeaderNames.EXPECT_INSTANCE));
        assertEquals("8000", sent.header(HeaderNames.DEADLINE_MS));
        assertEquals(
                "3", sent.header(HeaderNames.PRIORITY)); // tenant priority 1, first prefill class
        assertEquals("a1", sent.header(HeaderNames.ATTEMPT_ID));
        assertEquals("2", sent.header("X-Other"));
        assertEquals("12", sent.header(HeaderNames.LAST_EVENT_ID));
        assertNull(sent.header("X-Hop"));
        assertNull(sent.header(HeaderNames.AUTHORIZATION));
    }

    @Test
    void eventsAreForwardedAsTheyArriveAndOnlyWhenComplete() {
        ScriptedClient client = context.send("/s/1");
        SentRequest sent = connections.lastSent();
        sent.respondHead(200, "Content-Type", "text/event-stream");
        assertEquals(0, client.responses);
        sent.sendBytes("id: 1\ndata: a");
        assertEquals("", client.body.toString());
        sent.sendBytes("\n\nid: 2\n");
        assertEquals("id: 1\ndata: a\n\n", client.body.toString());
        sent.sendBytes("data: b\n\n");
        sent.completeResponse();
        assertEquals("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", client.body.toString());
        assertTrue(client.ended && !client.aborted);
        assertEquals("sig", client.headers.get(HeaderNames.UPSTREAM_SIGNATURE));
    }

    @Test
    void resumableStreamIsResumedAtAnotherUpstreamInsideOneResponse() {
        ScriptedClient client = context.send("/s/1");
        SentRequest first = connections.lastSent();
        first.respondHead(200);
        first.sendEvent(1);
        first.sendEvent(2);
        first.sendBytes("id: 3\nda");
        first.loseConnection();
        SentRequest second = connections.lastSent();
        assertTrue(second.upstream != first.upstream);
        assertEquals("2", second.header(HeaderNames.LAST_EVENT_ID));
        second.respondHead(200, HeaderNames.UPSTREAM_SIGNATURE, "other");
        second.sendEvent(2);
        second.sendEvent(3);
        second.completeResponse();
        assertEquals(
                "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\nid: 3\ndata: x3\n\n",
                client.body.toString());
        assertEquals("sig", client.headers.get(HeaderNames.UPSTREAM_SIGNATURE));
        assertEquals(1, client.responses);
        assertTrue(client.ended);
    }

    private void upgradeAllButOne(String notUpgradedId) {
        for (int i = 1; i <= 3; i++) {
            String id = "m" + i;
            long weights = id.equals(notUpgradedId) ? 1 : 2;
            context.update(
                    DataPlaneContext.record(id, "m", Stage.READY).withWeightsVersion(weights));
        }
    }

    @Test
    void streamIsResumedWithItsOriginalWeightsIfAnyUpstreamHasThem() {
        for (int i = 0; i < 20; i++) {
            context.send("/s/" + i);
            SentRequest first = connections.lastSent();
            String notUpgradedId = first.upstream.record().id.equals("m3") ? "m1" : "m3";
            upgradeAllButOne(notUpgradedId);
            first.respondHead(200, HeaderNames.VERSIONS, "1");
            first.sendEvent(1);
            first.loseConnection();
            assertEquals(notUpgradedId, connections.lastSent().upstream.record().id);
            assertEquals("1", connections.lastSent().header(HeaderNames.EXPECT_VERSION));
            assertEquals("1", connections.lastSent().header(HeaderNames.LAST_EVENT_ID));
            connections.lastSent().respondHead(200, HeaderNames.VERSIONS, "1");
            connections.lastSent().sendEvent(2);
            connections.lastSent().completeResponse();
        }
    }

    @Test
    void streamIsResumedWithOtherWeightsIfNoUpstreamHasTheOriginalOnes() {
        ScriptedClient client = context.send("/s/1");
        SentRequest first = connections.lastSent();
        upgradeAllButOne("none");
        first.respondHead(200, HeaderNames.VERSIONS, "1");
        first.sendEvent(1);
        first.loseConnection();
        assertNull(connections.lastSent().header(HeaderNames.EXPECT_VERSION));
        connections.lastSent().respondHead(200, HeaderNames.VERSIONS, "2");
        connections.lastSent().sendEvent(2);
        connections.lastSent().completeResponse();
        assertTrue(client.ended);
    }

    @Test
    void misdirectedResumptionDoesNotRemoveAnUpgradedUpstream() {
        context.send("/s/1");
        SentRequest first = connections.lastSent();
        upgradeAllButOne(first.upstream.record().id.equals("m3") ? "m1" : "m3");
        first.respondHead(200, HeaderNames.VERSIONS, "1");
        first.sendEvent(1);
        first.loseConnection();
        connections.lastSent().respondHead(421);
        assertEquals(3, dataPlane.directory().available("m").size());
    }

    @Test
    void nonResumableStreamIsAbortedWhenItsConnectionIsLost() {
        ScriptedClient client = context.send("/n/1");
        connections.lastSent().respondHead(200);
        connections.lastSent().sendEvent(1);
        connections.lastSent().loseConnection();
        assertEquals(1, connections.sent.size());
        assertTrue(client.aborted);
        assertFalse(client.ended);
    }

    @Test
    void requestThatMayHaveRunIsRetriedOnlyOnIdempotentRoutes() {
        ScriptedClient unsafe = context.send("/u/1");
        connections.lastSent().loseConnection();
        assertEquals(1, connections.sent.size());
        assertEquals(502, unsafe.status);
        ScriptedClient safe = context.send("/i/1");
        connections.lastSent().loseConnection();
        assertEquals(3, connections.sent.size());
        connections.lastSent().respondHead(200);
        connections.lastSent().sendBytes("ok");
        connections.lastSent().completeResponse();
        assertEquals(200, safe.status);
        assertEquals("ok", safe.body.toString());
    }

    @Test
    void rejectedRequestIsRetriedElsewhereAndThenRejected() {
        ScriptedClient client = context.send("/u/1");
        connections.lastSent().rejectAsNotExecuted();
        assertEquals(2, connections.sent.size());
        connections.lastSent().rejectAsNotExecuted();
        assertEquals(2, connections.sent.size());
        assertEquals(503, client.status);
        assertNotNull(client.headers.get(HeaderNames.RETRY_AFTER));
    }

    @Test
    void rejectionAfterALostConnectionIsNotForwardedAs503() {
        ScriptedClient client = context.send("/i/1");
        connections.lastSent().loseConnection();
        connections.lastSent().rejectAsNotExecuted();
        assertEquals(502, client.status);
    }

    @Test
    void misdirectedRequestRemovesTheInstanceAndIsRetried() {
        ScriptedClient client = context.send("/u/1");
        SentRequest first = connections.lastSent();
        first.respondHead(
                421, HeaderNames.UPSTREAM_SIGNATURE, "", "Myrtleladder-Upstream-Id", "i-other");
        assertFalse(dataPlane.directory().available("p").contains(first.upstream));
        connections.lastSent().respondHead(200);
        connections.lastSent().completeResponse();
        assertEquals(200, client.status);
    }

    @Test
    void responseToAnotherRequestIsNotForwarded() {
        ScriptedClient client = context.send("/u/1");
        connections.lastSent().respondHead(200, HeaderNames.ATTEMPT_ID, "someone-else");
        assertTrue(connections.lastSent().closed);
        assertEquals(502, client.status);
        assertEquals("", client.body.toString());
    }

    /** Guards against a request that fails at its deadline and never ends for its client. */
    @Test
    void requestThatFailsAtItsDeadlineIsAbortedAndTheOthersEnd() {
        ScriptedClient failing = context.send("/u/1");
        ScriptedClient next = context.send("/u/1");
        failing.failsToRespond = true;
        clock.run(9_000);
        assertTrue(failing.aborted);
        assertEquals(504, next.status);
        assertEquals(0, dataPlane.activeRequests().size());
    }

    /**
     * Guards against a late second copy of another request's rejection that is taken for the answer
     * of the one that waits: it promises that this one has not run, and a 421 removes the upstream.
     */
    @Test
    void rejectionOfAnotherRequestPromisesNothingAndKeepsTheUpstream() {
        for (String status : new String[] {"503", "421"}) {
            ScriptedClient client = context.send("/u/1");
            SentRequest sent = connections.lastSent();
            int sentBefore = connections.sent.size();
            sent.respondHead(
                    Integer.parseInt(status),
                    HeaderNames.ATTEMPT_ID,
                    "someone-else",
                    HeaderNames.NOT_EXECUTED,
                    "1");
            assertTrue(sent.closed);
            assertEquals(502, client.status);
            assertEquals(sentBefore, connections.sent.size(), "no second attempt");
            assertTrue(dataPlane.directory().available("p").contains(sent.upstream), status);
        }
    }

    @Test
    void successWithoutSignatureIsNotForwarded() {
        ScriptedClient client = context.send("/u/1");
        SentRequest sent = connections.lastSent();
        sent.listener.onResponseHead(
                new ResponseHead(200, new Headers().add(HeaderNames.ATTEMPT_ID, "a1"), true));
        assertEquals(502, client.status);
    }

    @Test
    void upstreamErrorKeepsItsStatusAndSignature() {
        ScriptedClient client = context.send("/u/1");
        connections.lastSent().respondHead(500);
        connections.lastSent().sendBytes("why");
        connections.lastSent().completeResponse();
        assertEquals(500, client.status);
        assertEquals("sig", client.headers.get(HeaderNames.UPSTREAM_SIGNATURE));
    }

    @Test
    void requestIsRejectedWhenNoUpstreamAcceptsConnections() {
        connections.refusesConnections = true;
        ScriptedClient client = context.send("/u/1");
        assertEquals(0, connections.sent.size());
        assertEquals(503, client.status);
    }

    @Test
    void connectionThatIsNotEstablishedInTimeIsReplaced() {
        connections.neverConnects = true;
        ScriptedClient client = context.send("/u/1");
        clock.run(400);
        assertEquals(0, client.responses);
        connections.neverConnects = false;
        clock.run(200);
        assertEquals(1, connections.sent.size());
        connections.lastSent().respondHead(200);
        connections.lastSent().completeResponse();
        assertEquals(200, client.status);
    }

    @Test
    void clientDeadlineEndsTheRequest() {
        assertEndsAtDeadline("300", "300", 320);
    }

    private void assertEndsAtDeadline(String deadlineMs, String forwardedDeadlineMs, long waitMs) {
        ScriptedClient client = context.send("/u/1", HeaderNames.DEADLINE_MS, deadlineMs);
        assertEquals(forwardedDeadlineMs, connections.lastSent().header(HeaderNames.DEADLINE_MS));
        clock.run(waitMs);
        assertEquals(504, client.status);
        assertTrue(connections.lastSent().closed);
    }

    @Test
    void unresponsiveUpstreamIsReplacedOnIdempotentRoutesOnly() {
        ScriptedClient idempotent = context.send("/s/1");
        SentRequest unresponsive = connections.lastSent();
        clock.run(900);
        assertEquals(2, connections.sent.size());
        assertTrue(unresponsive.closed);
        connections.lastSent().respondHead(200);
        connections.lastSent().sendEvent(1);
        connections.lastSent().completeResponse();
        assertTrue(idempotent.ended);
        context.send("/n/1");
        clock.run(900);
        assertEquals(3, connections.sent.size());
    }

    @Test
    void disconnectedClientCancelsTheAttempt() {
        ScriptedClient client = context.send("/s/1");
        client.disconnect();
        assertTrue(connections.lastSent().closed);
        assertEquals(0, client.responses);
        assertEquals(0, dataPlane.activeRequests().size());
    }

    @Test
    void requestsWithTheSamePrefixGoToTheSameUpstream() {
        for (int i = 0; i < 10; i++) {
            context.send(
                    "/s/" + i,
                    HeaderNames.PROMPT_PREFIX,
                    "5c1e07a2:8000,b" + i + ":50",
                    HeaderNames.TOKEN_USAGE,
                    "8050,10");
            connections.lastSent().respondHead(200);
            connections.lastSent().sendEvent(1);
            connections.lastSent().completeResponse();
        }
        assertEquals(1, connections.sent.stream().map(s -> s.upstream).distinct().count());
    }

    @Test
    void requestThatCannotBeginInTimeIsNotAdmitted() {
        int rejectedCount = 0;
        for (int i = 0; i < 40; i++) {
            ScriptedClient client =
                    context.send(
                            "/s/" + i,
                            HeaderNames.PROMPT_PREFIX,
                            "c" + i + ":20000",
                            HeaderNames.TOKEN_USAGE,
                            "20000,10");
            rejectedCount += client.status == 503 ? 1 : 0;
        }
        assertTrue(rejectedCount > 0 && rejectedCount < 40, "rejected " + rejectedCount);
    }

    @Test
    void modelFieldsAreForwardedUnchanged() {
        String prefix = "5C1e07a2:800, 91bd3f06:410,e4402b7d:250";
        context.send(
                "/s/1",
                MODEL,
                "m;x=1",
                HeaderNames.TOKEN_USAGE,
                "1460, 80",
                HeaderNames.PROMPT_PREFIX,
                prefix);
        assertEquals("m;x=1", connections.lastSent().header(MODEL));
        assertEquals("1460, 80", connections.lastSent().header(HeaderNames.TOKEN_USAGE));
        assertEquals(prefix, connections.lastSent().header(HeaderNames.PROMPT_PREFIX));
    }

    @Test
    void retryCarriesTheRemainingTime() {
        context.send("/s/1", HeaderNames.DEADLINE_MS, "6000");
        assertEquals("6000", connections.lastSent().header(HeaderNames.DEADLINE_MS));
        clock.run(700);
        connections.lastSent().loseConnection();
        assertEquals(2, connections.sent.size());
        assertEquals("5300", connections.lastSent().header(HeaderNames.DEADLINE_MS));
    }

    @Test
    void routeTimeoutEndsARequestWithALaterDeadline() {
        assertEndsAtDeadline("9000", "1000", 1_010);
    }

    @Test
    void nothingIsSentWhenTheClientDisconnectsDuringConnect() {
        connections.neverConnects = true;
        ScriptedClient client = context.send("/i/1");
        client.disconnect();
        connections.neverConnects = false;
        clock.run(2_000);
        assertEquals(0, connections.sent.size());
        assertEquals(0, dataPlane.activeRequests().size());
    }
}
