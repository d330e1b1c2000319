package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import myrtleladder.dataplane.ScriptedConnectionPool.SentRequest;
import myrtleladder.protocol.QuotaResponse;
import org.junit.jupiter.api.Test;

/** Route matching, authentication, quota and selection of the service. */
class RequestRouterTest {
    private final DataPlaneContext context = DataPlaneContext.withRouteOfEachKind();
    private final ScriptedConnectionPool connections = context.connections;
    private final DataPlane dataPlane = context.dataPlane;

    @Test
    void unknownRoutesAndKeysAreRejectedAndPublicRoutesNeedNoKey() {
        assertEquals(404, context.send("/x/").status);
        assertEquals(401, context.send("/s/1", HeaderNames.AUTHORIZATION, "Token other").status);
        assertEquals(0, connections.sent.size());
        context.send("/o/1", HeaderNames.AUTHORIZATION, "none", HeaderNames.TENANT, "forged");
        assertNull(connections.lastSent().header(HeaderNames.TENANT));
    }

    @Test
    void requestOverQuotaIsRejectedWithRetryAfter() {
        context.answerQuotaRequestsWith(QuotaResponse.of(true, 0, 700));
        ScriptedClient client = context.send("/s/1", HeaderNames.TOKEN_USAGE, "1400,80");
        assertEquals(429, client.status);
        assertEquals("0.700", client.headers.get(HeaderNames.RETRY_AFTER));
        assertEquals(0, connections.sent.size());
    }

    @Test
    void requestsAreRejectedDuringShutdownAndThoseInFlightComplete() {
        ScriptedClient before = context.send("/s/1");
        SentRequest first = connections.lastSent();
        first.respondHead(200);
        first.sendEvent(1);
        dataPlane.router().rejectNewRequests();
        ScriptedClient late = context.send("/s/2");
        assertEquals(503, late.status);
        assertNotNull(late.headers.get(HeaderNames.RETRY_AFTER));
        assertEquals(1, connections.sent.size());
        first.sendEvent(2);
        first.completeResponse();
        assertTrue(before.ended);
    }

    @Test
    void requestBeforeTheFirstConfigurationIsRejectedWithRetryAfter() {
        DataPlaneContext unconfigured = new DataPlaneContext.Builder().build();
        ScriptedClient client = unconfigured.send("/s/1");
        assertEquals(503, client.status);
        assertNotNull(client.headers.get(HeaderNames.RETRY_AFTER));
    }

    @Test
    void splitRouteDrawsServicesByWeight() {
        int secondServiceCount = 0;
        for (int i = 0; i < 300; i++) {
            assertEquals(0, context.send("/w/1").status);
            secondServiceCount +=
                    connections.lastSent().upstream.record().service.equals("q") ? 1 : 0;
            connections.lastSent().respondHead(200);
            connections.lastSent().completeResponse();
        }
        assertTrue(
                secondServiceCount >= 15 && secondServiceCount <= 45,
                "expected about 30 of 300 but was " + secondServiceCount);
    }
}
