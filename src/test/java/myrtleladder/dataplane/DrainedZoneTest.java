package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import myrtleladder.dataplane.ScriptedConnectionPool.SentRequest;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import org.junit.jupiter.api.Test;

/** No new requests are sent to upstreams of a zone that an operator has drained. */
class DrainedZoneTest {
    private static final List<String> EAST = List.of("east");
    private static final List<String> BOTH = List.of("east", "west");

    private final DataPlaneContext context =
            new DataPlaneContext.Builder()
                    .withConfiguration(RoutesDocument.TEXT)
                    .withRecords(records(Stage.READY))
                    .build();
    private final ScriptedConnectionPool connections = context.connections;
    private final UpstreamDirectory directory = context.dataPlane.directory();

    /** Two upstreams of each service in the east and one in the west. */
    private static List<InstanceRecord> records(Stage westernStage) {
        List<InstanceRecord> records = new ArrayList<>();
        for (String service : List.of("m", "p")) {
            records.add(record(service + "1", service, "east", Stage.READY));
            records.add(record(service + "2", service, "east", Stage.READY));
            records.add(record(service + "3", service, "west", westernStage));
        }
        return records;
    }

    private static InstanceRecord record(String id, String service, String zone, Stage stage) {
        return InstanceRecord.of(id, service, "10.0.0.1:80", zone, 64, "v1", stage, 1);
    }

    private String lastUpstream() {
        return connections.lastSent().upstream.record().id;
    }

    private ScriptedClient sendToTheEast() {
        directory.applyDrainedZones(List.of("west"));
        ScriptedClient client = context.send("/s/1");
        directory.applyDrainedZones(List.of());
        return client;
    }

    @Test
    void requestsGoToOtherZonesUntilTheZoneIsUndrained() {
        directory.applyDrainedZones(EAST);
        for (int i = 0; i < 5; i++) {
            context.send("/s/" + i);
            assertEquals("m3", lastUpstream());
            context.send("/u/" + i);
            assertEquals("p3", lastUpstream());
        }
        directory.applyDrainedZones(List.of());
        assertEquals(3, directory.available("m").size());
    }

    @Test
    void lostUpstreamIsPreferredToADrainedOne() {
        directory.applyDrainedZones(EAST);
        directory.applyRecords(records(Stage.LOST), true);
        context.send("/u/1");
        assertEquals("p3", lastUpstream());
    }

    @Test
    void ejectedUpstreamIsPreferredToADrainedOne() {
        directory.applyDrainedZones(EAST);
        directory
                .available("p")
                .forEach(upstream -> upstream.markUnresponsive(context.clock.now()));
        context.send("/u/1");
        assertEquals("p3", lastUpstream());
    }

    @Test
    void requestIsRejectedWithARetryDelayIfAllZonesAreDrained() {
        directory.applyDrainedZones(BOTH);
        ScriptedClient client = context.send("/s/1");
        assertEquals(503, client.status);
        assertNotNull(client.headers.get(HeaderNames.RETRY_AFTER));
        assertEquals(0, connections.sent.size());
    }

    @Test
    void retryAfterAFailureInADrainedZoneGoesElsewhere() {
        sendToTheEast();
        directory.applyDrainedZones(EAST);
        connections.lastSent().loseConnection();
        assertEquals("m3", lastUpstream());
    }

    @Test
    void streamContinuesInTheDrainedZoneAndIsResumedElsewhereAfterAFailure() {
        ScriptedClient client = sendToTheEast();
        SentRequest running = connections.lastSent();
        running.respondHead(200);
        running.sendEvent(1);
        directory.applyDrainedZones(EAST);
        running.sendEvent(2);
        assertEquals(1, connections.sent.size());
        running.loseConnection();
        assertEquals("m3", lastUpstream());
        connections.lastSent().respondHead(200);
        connections.lastSent().sendEvent(3);
        connections.lastSent().completeResponse();
        assertTrue(client.ended);
        assertEquals(
                "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\nid: 3\ndata: x3\n\n",
                client.body.toString());
    }

    @Test
    void connectingRequestGoesElsewhereWithoutAnEjection() {
        connections.neverConnects = true;
        ScriptedClient client = sendToTheEast();
        connections.neverConnects = false;
        directory.applyDrainedZones(EAST);
        assertEquals("m3", lastUpstream());
        connections.lastSent().respondHead(200);
        connections.lastSent().sendEvent(1);
        connections.lastSent().completeResponse();
        assertTrue(client.ended);
        for (Upstream upstream : directory.all()) {
            assertEquals(0, upstream.ownRequests());
            assertEquals(0, upstream.errorRate());
        }
    }

    @Test
    void connectingRequestIsRejectedOnceIfAllZonesAreDrained() {
        connections.neverConnects = true;
        ScriptedClient client = context.send("/u/1");
        directory.applyDrainedZones(BOTH);
        assertEquals(503, client.status);
        assertEquals(1, client.finalResponses);
        context.clock.run(2_000);
        assertEquals(1, client.finalResponses);
        assertEquals(0, client.ignoredCalls);
    }
}
