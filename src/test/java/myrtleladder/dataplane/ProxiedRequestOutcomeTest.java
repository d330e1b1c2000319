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
    private enum FirstResponse {
        /** The first upstream does not fail on its own but behaves like the others. */
        NOTHING,
        /** A head and an incomplete event, which is not forwarded to the client. */
        INCOMPLETE_EVENT,
        /** A head and two events, which are forwarded to the client. */
        EVENTS
    }

    /** How each upstream behaves from then on. */
    private enum UpstreamBehaviour {
        COMPLETE,
        REJECT_503,
        REJECT_400,
        REJECT_421,
        FAIL_400,
        FAIL_421,
        FAIL_500,
        FAIL_503,
        RESPOND_TO_ANOTHER_REQUEST,
        /** A late second copy of the rejection of an earlier request on the connection. */
        REJECT_ANOTHER_REQUEST_503,
        /** The same with a status that says that the upstream is another one. */
        REJECT_ANOTHER_REQUEST_421,
        LOSE_CONNECTION,
        LOSE_CONNECTION_WITHIN_EVENT,
        SEND_NOTHING,
        REFUSE_CONNECTION,
        CLIENT_DISCONNECTS
    }

    private static void sendFirstResponse(SentRequest first, FirstResponse firstResponse) {
        switch (firstResponse) {
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
            default -> throw new IllegalStateException(firstResponse.toString());
        }
        first.loseConnection();
    }

    private static void applyBehaviourTo(SentRequest sent, UpstreamBehaviour behaviour) {
        switch (behaviour) {
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
            case RESPOND_TO_ANOTHER_REQUEST ->
                    sent.respondHead(200, HeaderNames.ATTEMPT_ID, "another");
            case REJECT_ANOTHER_REQUEST_503 -> rejectAnotherRequest(sent, 503);
            case REJECT_ANOTHER_REQUEST_421 -> rejectAnotherRequest(sent, 421);
            case LOSE_CONNECTION -> sent.loseConnection();
            case LOSE_CONNECTION_WITHIN_EVENT -> {
                sent.respondHead(200);
                sent.sendBytes("id: 3\nda");
                sent.loseConnection();
            }
            case SEND_NOTHING, REFUSE_CONNECTION, CLIENT_DISCONNECTS -> {
                // the upstream sends nothing
            }
            default -> throw new IllegalStateException(behaviour.toString());
        }
    }

    private static void rejectAnotherRequest(SentRequest sent, int status) {
        sent.respondHead(status, HeaderNames.ATTEMPT_ID, "another", HeaderNames.NOT_EXECUTED, "1");
    }

    private static void respond(SentRequest sent, int status, String... fields) {
        sent.respondHead(status, fields);
        sent.sendBytes("why");
        sent.completeResponse();
    }

    private final DataPlaneContext context = DataPlaneContext.withRouteOfEachKind();

    /**
     * Paths are those of {@link RoutesDocument}. The outcome is a status code, "resumed" for a
     * stream completed by another upstream, "aborted", or "none" if the client disconnected.
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
        "/s/1, NOTHING, RESPOND_TO_ANOTHER_REQUEST, 502",
        "/s/1, NOTHING, REJECT_ANOTHER_REQUEST_503, 502",
        "/s/1, NOTHING, REJECT_ANOTHER_REQUEST_421, 502",
        "/s/1, NOTHING, LOSE_CONNECTION, 502",
        "/s/1, NOTHING, LOSE_CONNECTION_WITHIN_EVENT, 502",
        "/s/1, NOTHING, SEND_NOTHING, 504",
        "/s/1, NOTHING, REFUSE_CONNECTION, 503",
        "/s/1, NOTHING, CLIENT_DISCONNECTS, none",
        "/s/1, INCOMPLETE_EVENT, COMPLETE, 200",
        "/s/1, INCOMPLETE_EVENT, REJECT_503, 502",
        "/s/1, INCOMPLETE_EVENT, REJECT_400, 400",
        "/s/1, INCOMPLETE_EVENT, REJECT_421, 502",
        "/s/1, INCOMPLETE_EVENT, FAIL_400, 400",
        "/s/1, INCOMPLETE_EVENT, FAIL_421, 502",
        "/s/1, INCOMPLETE_EVENT, FAIL_500, 500",
        "/s/1, INCOMPLETE_EVENT, FAIL_503, 503",
        "/s/1, INCOMPLETE_EVENT, RESPOND_TO_ANOTHER_REQUEST, 502",
        "/s/1, INCOMPLETE_EVENT, LOSE_CONNECTION, 502",
        "/s/1, INCOMPLETE_EVENT, LOSE_CONNECTION_WITHIN_EVENT, 502",
        "/s/1, INCOMPLETE_EVENT, SEND_NOTHING, 504",
        "/s/1, INCOMPLETE_EVENT, REFUSE_CONNECTION, 502",
        "/s/1, INCOMPLETE_EVENT, CLIENT_DISCONNECTS, none",
        "/s/1, EVENTS, COMPLETE, resumed",
        "/s/1, EVENTS, REJECT_503, aborted",
        "/s/1, EVENTS, REJECT_400, aborted",
        "/s/1, EVENTS, REJECT_421, aborted",
        "/s/1, EVENTS, FAIL_400, aborted",
        "/s/1, EVENTS, FAIL_421, aborted",
        "/s/1, EVENTS, FAIL_500, aborted",
        "/s/1, EVENTS, FAIL_503, aborted",
        "/s/1, EVENTS, RESPOND_TO_ANOTHER_REQUEST, aborted",
        "/s/1, EVENTS, REJECT_ANOTHER_REQUEST_503, aborted",
        "/s/1, EVENTS, REJECT_ANOTHER_REQUEST_421, aborted",
        "/s/1, EVENTS, LOSE_CONNECTION, aborted",
        "/s/1, EVENTS, LOSE_CONNECTION_WITHIN_EVENT, aborted",
        "/s/1, EVENTS, SEND_NOTHING, aborted",
        "/s/1, EVENTS, REFUSE_CONNECTION, aborted",
        "/s/1, EVENTS, CLIENT_DISCONNECTS, none",
        "/n/1, INCOMPLETE_EVENT, COMPLETE, 502",
        "/n/1, EVENTS, COMPLETE, aborted",
        "/u/1, NOTHING, REJECT_503, 503",
        "/u/1, NOTHING, REJECT_400, 400",
        "/u/1, NOTHING, REJECT_421, 503",
        "/u/1, NOTHING, FAIL_400, 400",
        "/u/1, NOTHING, FAIL_500, 500",
        "/u/1, NOTHING, LOSE_CONNECTION, 502",
        "/u/1, NOTHING, RESPOND_TO_ANOTHER_REQUEST, 502",
        "/u/1, NOTHING, REJECT_ANOTHER_REQUEST_503, 502",
        "/u/1, NOTHING, REJECT_ANOTHER_REQUEST_421, 502",
        "/u/1, NOTHING, SEND_NOTHING, 504",
        "/u/1, NOTHING, REFUSE_CONNECTION, 503",
        "/u/1, NOTHING, CLIENT_DISCONNECTS, none",
        "/i/1, NOTHING, FAIL_500, 500",
        "/i/1, NOTHING, LOSE_CONNECTION, 502",
        "/i/1, NOTHING, SEND_NOTHING, 504",
    })
    void requestEndsInOneFinalResponse(
            String path, FirstResponse firstResponse, UpstreamBehaviour behaviour, String outcome) {
        ScriptedClient client = context.send(path);
        sendFirstResponse(context.connections.lastSent(), firstResponse);
        applyBehaviour(client, firstResponse == FirstResponse.NOTHING ? 0 : 1, behaviour);
        context.clock.run(ALL_DEADLINES_MS);
        assertEquals(outcome, outcomeOf(client));
        assertEquals(outcome.equals("none") ? 0 : 1, client.finalResponses);
        assertEquals(0, client.ignoredCalls);
        assertEquals(0, context.dataPlane.activeRequests().size());
        for (Upstream upstream : context.dataPlane.directory().all()) {
            assertEquals(0, upstream.ownRequests(), "in flight at " + upstream.record().id);
        }
    }

    private void applyBehaviour(
            ScriptedClient client, int firstIndex, UpstreamBehaviour behaviour) {
        if (behaviour == UpstreamBehaviour.CLIENT_DISCONNECTS) {
            client.disconnect();
            return;
        }
        if (behaviour == UpstreamBehaviour.REFUSE_CONNECTION) {
            context.connections.refusesConnections = true;
            int last = context.connections.sent.size() - 1;
            context.connections.sent.get(last).rejectAsNotExecuted();
            return;
        }
        for (int i = firstIndex; i < context.connections.sent.size(); i++) {
            applyBehaviourTo(context.connections.sent.get(i), behaviour);
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
    void rejectedResumptionIsRetriedAtTheNextUpstreamWithinTheRetryLimit() {
        ScriptedClient client = context.send("/s3/1");
        sendFirstResponse(context.connections.lastSent(), FirstResponse.EVENTS);
        context.connections.lastSent().respondHead(400, HeaderNames.NOT_EXECUTED, "1");
        applyBehaviourTo(context.connections.lastSent(), UpstreamBehaviour.COMPLETE);
        assertEquals(3, context.connections.sent.size());
        assertEquals("resumed", outcomeOf(client));
    }

    @Test
    void attemptLostAfterAnEarlierHeadCountsTowardsTheRetryLimit() {
        DataPlaneContext manyUpstreams =
                new DataPlaneContext.Builder()
                        .withConfiguration(RoutesDocument.TEXT)
                        .withUpstreams("m", 6)
                        .build();
        ScriptedClient client = manyUpstreams.send("/s3/1");
        sendFirstResponse(manyUpstreams.connections.lastSent(), FirstResponse.INCOMPLETE_EVENT);
        manyUpstreams.connections.lastSent().loseConnection();
        manyUpstreams.connections.lastSent().rejectAsNotExecuted();
        assertEquals(
                3, manyUpstreams.connections.sent.size(), "at most as many as the route's retries");
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
    void upstreamErrorIsForwardedIfTheRetryIsRejected() {
        ScriptedClient client = context.send("/i/1");
        applyBehaviourTo(context.connections.lastSent(), UpstreamBehaviour.FAIL_500);
        context.connections.lastSent().rejectAsNotExecuted();
        assertEquals(500, client.status, "a 503 would say that the request was not executed");
        assertEquals("why", client.body.toString());
        assertEquals("sig", client.headers.get(HeaderNames.UPSTREAM_SIGNATURE));
    }

    @Test
    void rejectionWithStatus400IsForwardedCompletely() {
        ScriptedClient client = context.send("/u/1");
        applyBehaviourTo(context.connections.lastSent(), UpstreamBehaviour.REJECT_400);
        assertEquals(400, client.status);
        assertEquals("why", client.body.toString());
        assertNotNull(client.headers.get(HeaderNames.UPSTREAM_SIGNATURE));
        assertFalse(context.connections.lastSent().closed);
    }
}
