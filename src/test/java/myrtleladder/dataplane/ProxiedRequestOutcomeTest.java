package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import myrtleladder.dataplane.ScriptedConnectionPool.SentRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Outcomes of a request for each combination of what the first upstream sent before it failed and
 * how the other upstreams behave. Each request must end in exactly one final response, with no
 * request left active.
 */
class ProxiedRequestOutcomeTest {
    /** Longer than the timeouts of all routes. */
    private static final long ALL_DEADLINES_MS = 9_000;

    /** What the first upstream sends before its connection is lost. */
    private enum Received {
        /** The first upstream does not fail on its own but behaves like the others. */
        NOTHING,
        /** A head and an incomplete event, which is not forwarded to the client. */
        INCOMPLETE_EVENT,
        /** A head and two events, which are forwarded to the client. */
        EVENTS
    }

    /** How each upstream behaves from then on. */
    private enum Upstreams {
        COMPLETE,
        REJECT_503,
        REJECT_400,
        REJECT_421,
        FAIL_400,
        FAIL_421,
        FAIL_500,
        FAIL_503,
        ANSWER_ANOTHER_REQUEST,
        LOSE_CONNECTION,
        LOSE_CONNECTION_IN_EVENT,
        STAY_SILENT,
        REFUSE_CONNECTION,
        CLIENT_LEAVES
    }

    private static void begin(SentRequest first, Received received) {
        switch (received) {
            case NOTHING -> {
                return;
            }
            case INCOMPLETE_EVENT -> {
                first.respondHead(200);
                first.sendBytes("id: 1\nda");
            }
            case EVENTS -> {
                first.respondHead(200);
                first.sendEvent(1);
                first.sendEvent(2);
            }
            default -> throw new IllegalStateException(received.toString());
        }
        first.loseConnection();
    }

    private static void act(SentRequest sent, Upstreams upstreams) {
        switch (upstreams) {
            case COMPLETE -> {
                sent.respondHead(200);
                sent.sendEvent(3);
                sent.completeResponse();
            }
            case REJECT_503 -> sent.rejectAsNotExecuted();
            case REJECT_400 -> respond(sent, 400, HeaderNames.NOT_EXECUTED, "1");
            case REJECT_421 -> sent.respondHead(421, HeaderNames.NOT_EXECUTED, "1");
            case FAIL_400 -> respond(sent, 400);
            case FAIL_421 -> sent.respondHead(421);
            case FAIL_500 -> respond(sent, 500);
            case FAIL_503 -> respond(sent, 503);
            case ANSWER_ANOTHER_REQUEST -> sent.respondHead(200, HeaderNames.ATTEMPT_ID, "another");
            case LOSE_CONNECTION -> sent.loseConnection();
            case LOSE_CONNECTION_IN_EVENT -> {
                sent.respondHead(200);
                sent.sendBytes("id: 3\nda");
                sent.loseConnection();
            }
            case STAY_SILENT, REFUSE_CONNECTION, CLIENT_LEAVES -> {
                // the upstream sends nothing
            }
            default -> throw new IllegalStateException(upstreams.toString());
        }
    }

    private static void respond(SentRequest sent, int status, String... fields) {
        sent.respondHead(status, fields);
        sent.sendBytes("why");
        sent.completeResponse();
    }

    private final DataPlaneContext context = DataPlaneContext.withRouteOfEachKind();

    /**
     * Paths are those of {@link RoutesDocument}. The outcome is a status code, "resumed" for a stream
     * completed by another upstream, "aborted", or "none" if the client disconnected.
     */
    @ParameterizedTest(name = "{0}: {1}, then {2}")
    @CsvSource({
        "/s/1, NOTHING, COMPLETE, 200",
        "/s/1, NOTHING, REJECT_503, 503",
        "/s/1, NOTHING, REJECT_400, 400",
        "/s/1, NOTHING, REJECT_421, 503",
        "/s/1, NOTHING, FAIL_400, 400",
        "/s/1, NOTHING, FAIL_421, 503",
        "/s/1, NOTHING, FAIL_500, 500",
        "/s/1, NOTHING, FAIL_503, 503",
        "/s/1, NOTHING, ANSWER_ANOTHER_REQUEST, 502",
        "/s/1, NOTHING, LOSE_CONNECTION, 502",
        "/s/1, NOTHING, LOSE_CONNECTION_IN_EVENT, 502",
        "/s/1, NOTHING, STAY_SILENT, 504",
        "/s/1, NOTHING, REFUSE_CONNECTION, 503",
        "/s/1, NOTHING, CLIENT_LEAVES, none",
        "/s/1, INCOMPLETE_EVENT, COMPLETE, 200",
        "/s/1, INCOMPLETE_EVENT, REJECT_503, 502",
        "/s/1, INCOMPLETE_EVENT, REJECT_400, 400",
        "/s/1, INCOMPLETE_EVENT, REJECT_421, 502",
        "/s/1, INCOMPLETE_EVENT, FAIL_400, 400",
        "/s/1, INCOMPLETE_EVENT, FAIL_421, 502",
        "/s/1, INCOMPLETE_EVENT, FAIL_500, 500",
        "/s/1, INCOMPLETE_EVENT, FAIL_503, 503",
        "/s/1, INCOMPLETE_EVENT, ANSWER_ANOTHER_REQUEST, 502",
        "/s/1, INCOMPLETE_EVENT, LOSE_CONNECTION, 502",
        "/s/1, INCOMPLETE_EVENT, LOSE_CONNECTION_IN_EVENT, 502",
        "/s/1, INCOMPLETE_EVENT, STAY_SILENT, 504",
        "/s/1, INCOMPLETE_EVENT, REFUSE_CONNECTION, 502",
        "/s/1, INCOMPLETE_EVENT, CLIENT_LEAVES, none",
        "/s/1, EVENTS, COMPLETE, resumed",
        "/s/1, EVENTS, REJECT_503, aborted",
        "/s/1, EVENTS, REJECT_400, aborted",
        "/s/1, EVENTS, REJECT_421, aborted",
        "/s/1, EVENTS, FAIL_400, aborted",
        "/s/1, EVENTS, FAIL_421, aborted",
        "/s/1, EVENTS, FAIL_500, aborted",
        "/s/1, EVENTS, FAIL_503, aborted",
        "/s/1, EVENTS, ANSWER_ANOTHER_REQUEST, aborted",
        "/s/1, EVENTS, LOSE_CONNECTION, aborted",
        "/s/1, EVENTS, LOSE_CONNECTION_IN_EVENT, aborted",
        "/s/1, EVENTS, STAY_SILENT, aborted",
        "/s/1, EVENTS, REFUSE_CONNECTION, aborted",
        "/s/1, EVENTS, CLIENT_LEAVES, none",
        "/n/1, INCOMPLETE_EVENT, COMPLETE, 502",
        "/n/1, EVENTS, COMPLETE, aborted",
        "/u/1, NOTHING, REJECT_503, 503",
        "/u/1, NOTHING, REJECT_400, 400",
        "/u/1, NOTHING, REJECT_421, 503",
        "/u/1, NOTHING, FAIL_400, 400",
        "/u/1, NOTHING, FAIL_500, 500",
        "/u/1, NOTHING, LOSE_CONNECTION, 502",
        "/u/1, NOTHING, ANSWER_ANOTHER_REQUEST, 502",
        "/u/1, NOTHING, STAY_SILENT, 504",
        "/u/1, NOTHING, REFUSE_CONNECTION, 503",
        "/u/1, NOTHING, CLIENT_LEAVES, none",
        "/i/1, NOTHING, FAIL_500, 500",
        "/i/1, NOTHING, LOSE_CONNECTION, 502",
        "/i/1, NOTHING, STAY_SILENT, 504",
    })
    void requestEndsInOneFinalResponse(
            String path, Received received, Upstreams upstreams, String outcome) {
        ScriptedClient client = context.send(path);
        begin(context.connections.lastSent(), received);
        letAct(client, received == Received.NOTHING ? 0 : 1, upstreams);
        context.clock.run(ALL_DEADLINES_MS);
        assertEquals(outcome, outcomeOf(client));
        assertEquals(outcome.equals("none") ? 0 : 1, client.finalResponses);
        assertEquals(0, client.ignoredCalls);
        assertEquals(0, context.dataPlane.activeRequests().size());
        for (Upstream upstream : context.dataPlane.directory().all()) {
            assertEquals(0, upstream.ownRequests(), "in flight at " + upstream.record().id);
        }
    }

    private void letAct(ScriptedClient client, int alreadyActed, Upstreams upstreams) {
        if (upstreams == Upstreams.CLIENT_LEAVES) {
            client.disconnect();
            return;
        }
        if (upstreams == Upstreams.REFUSE_CONNECTION) {
            context.connections.refusesConnections = true;
            int last = context.connections.sent.size() - 1;
            context.connections.sent.get(last).rejectAsNotExecuted();
            return;
        }
        for (int i = alreadyActed; i < context.connections.sent.size(); i++) {
            act(context.connections.sent.get(i), upstreams);
        }
    }

    private static String outcomeOf(ScriptedClient client) {
        if (client.aborted) {
            return "aborted";
        }
        if (!client.ended) {
            return "none";
        }
        return client.body.toString().startsWith("id: 1\n") ? "resumed" : "" + client.status;
    }

    @Test
    void resumptionThatIsRejectedIsTakenUpByTheNextUpstreamWithinTheRetries() {
        ScriptedClient client = context.send("/s3/1");
        begin(context.connections.lastSent(), Received.EVENTS);
        context.connections.lastSent().respondHead(400, HeaderNames.NOT_EXECUTED, "1");
        act(context.connections.lastSent(), Upstreams.COMPLETE);
        assertEquals(3, context.connections.sent.size());
        assertEquals("resumed", outcomeOf(client));
    }

    @Test
    void attemptThatIsLostAfterAnEarlierHeadCountsTowardsTheRetries() {
        DataPlaneContext manyUpstreams =
                new DataPlaneContext.Builder()
                        .withConfiguration(RoutesDocument.TEXT)
                        .withUpstreams("m", 6)
                        .build();
        ScriptedClient client = manyUpstreams.send("/s3/1");
        begin(manyUpstreams.connections.lastSent(), Received.INCOMPLETE_EVENT);
        manyUpstreams.connections.lastSent().loseConnection();
        manyUpstreams.connections.lastSent().rejectAsNotExecuted();
        assertEquals(3, manyUpstreams.connections.sent.size(), "at most as many as the route's retries");
        assertEquals(502, client.status);
    }

    @Test
    void retryOfARequestThatMayHaveRunIsNotRejectedByAdmission() {
        ScriptedClient client = context.send("/s/1");
        SentRequest unresponsive = context.connections.lastSent();
        context.clock.run(650);
        letOthersReportLongQueues(unresponsive.upstream);
        context.clock.run(100);
        assertTrue(unresponsive.closed, "the upstream is considered unresponsive");
        assertEquals(0, client.responses, "a 503 would say that the request was not executed");
    }

    private void letOthersReportLongQueues(Upstream except) {
        for (int i = 0; i < 50; i++) {
            context.send("/s/" + i);
            SentRequest sent = context.connections.lastSent();
            if (sent.upstream != except) {
                sent.respondHead(200, HeaderNames.UPSTREAM_LOAD, "64,500,64");
                sent.sendEvent(1);
                sent.completeResponse();
            }
        }
    }

    @Test
    void failureOfAnUpstreamIsPassedOnIfTheRetryIsRejected() {
        ScriptedClient client = context.send("/i/1");
        act(context.connections.lastSent(), Upstreams.FAIL_500);
        context.connections.lastSent().rejectAsNotExecuted();
        assertEquals(500, client.status, "a 503 would say that the request was not executed");
        assertEquals("why", client.body.toString());
        assertEquals("sig", client.headers.get(HeaderNames.UPSTREAM_SIGNATURE));
    }

    @Test
    void malformedRequestIsAnsweredWithTheWholeResponseOfTheUpstream() {
        ScriptedClient client = context.send("/u/1");
        act(context.connections.lastSent(), Upstreams.REJECT_400);
        assertEquals(400, client.status);
        assertEquals("why", client.body.toString());
        assertNotNull(client.headers.get(HeaderNames.UPSTREAM_SIGNATURE));
        assertFalse(context.connections.lastSent().closed);
    }
}
