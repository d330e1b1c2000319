package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import myrtleladder.protocol.InFlightRequests;
import myrtleladder.protocol.InstanceRecord.Stage;
import myrtleladder.protocol.ShareInstancesRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Heartbeats and departures of upstreams at a primary, and the resulting upgrade status. */
class InstanceRequestTest {
    private final ControlPlaneFixture node = new ControlPlaneFixture();

    private boolean hasSentRecord(String id, Stage stage, boolean durably) {
        return node.hasSent(
                message ->
                        message instanceof ShareInstancesRequest shared
                                && (shared.syncRequired || !durably)
                                && shared.instances.get(0).id.equals(id)
                                && shared.instances.get(0).stage == stage);
    }

    @ParameterizedTest
    @ValueSource(strings = {"10.0.0.1", "10.0.0.1:", ":80", "10.0.0.1:http", "10.0.0.1:70000"})
    void heartbeatWithAnAddressThatCannotBeCalledIsRefused(String address) {
        String body = "{'backend':'s','address':'" + address + "','state':'ready','sequence':1}";
        assertEquals(400, node.send(RecordedExchange.of("PUT", "/instances/i", body), 20).status);
        assertEquals(0, node.plane.instances().size());
    }

    @Test
    void drainingIsAcknowledgedOnceReplicatedAndDepartureFailsWithoutReplication() {
        assertEquals(200, node.heartbeat("i", "ready", 1).status);
        node.sent.clear();
        assertEquals(200, node.heartbeat("i", "draining", 2).status);
        assertTrue(hasSentRecord("i", Stage.DRAINING, false));
        node.partitionPeers();
        assertEquals(503, node.departure("i", 550).status);
    }

    @Test
    void departureIsDurableOnAllReplicasBeforeItIsAcknowledged() {
        node.heartbeat("i", "ready", 1);
        node.sent.clear();
        RecordedExchange departure = node.departure("i", 4);
        assertEquals(0, departure.status, "not acknowledged before the disk has synced it");
        node.clock.run(20);
        assertEquals(200, departure.status);
        assertEquals(Stage.GONE, node.storedState.instances.get(0).stage);
        long durably =
                node.sent.stream()
                        .filter(m -> m instanceof ShareInstancesRequest s && s.syncRequired)
                        .count();
        assertEquals(node.replica.view().replicas.size() - 1, durably);
    }

    @Test
    void departureOfAnUnknownUpstreamReachesTheOtherNodes() {
        assertEquals(200, node.departure("never-heard", 20).status);
        assertTrue(hasSentRecord("never-heard", Stage.GONE, true));
        node.heartbeat("never-heard", "ready", 9);
        assertEquals(Stage.GONE, node.plane.instances().get(0).stage);
        assertTrue(upgradeStatus().contains("\"zones\":[]"), upgradeStatus());
    }

    @Test
    void drainingUpstreamIgnoresLateReadyHeartbeats() {
        node.heartbeat("i", "ready", 1);
        node.heartbeat("i", "draining", 5);
        node.heartbeat("i", "ready", 4);
        node.heartbeat("i", "ready", 9);
        assertEquals(Stage.DRAINING, node.plane.instances().get(0).stage);
    }

    private String upgradeStatus() {
        RecordedExchange get = node.send(RecordedExchange.of("GET", "/upgrade", ""), 0);
        assertEquals(200, get.status);
        return get.body;
    }

    private void sendHeartbeats(int firstSequence, int count, String... ids) {
        for (int i = 0; i < count; i++) {
            for (String id : ids) {
                node.heartbeat(id, "ready", firstSequence + i);
            }
            node.clock.run(900);
        }
    }

    private void reportInFlight(InFlightRequests... requests) {
        node.receive(new PollRequestBuilder().inFlight(requests).immediate().build());
    }

    @Test
    void upgradeIsSettledOnceNothingIsInFlightAtDrainingUpstreams() {
        sendHeartbeats(1, 6, "i1", "i2");
        assertTrue(upgradeStatus().contains("\"settled\":true"), upgradeStatus());
        node.heartbeat("i3", "ready", 1);
        assertTrue(upgradeStatus().contains("\"without_ordinal\":1"), upgradeStatus());
        node.heartbeat("i1", "draining", 9);
        reportInFlight(InFlightRequests.of("i1", 2));
        assertTrue(upgradeStatus().contains("\"draining\":1"), upgradeStatus());
        node.departure("i1", 0);
        sendHeartbeats(10, 1, "i2", "i3");
        reportInFlight(InFlightRequests.of("i1", 2));
        assertTrue(upgradeStatus().startsWith("{\"settled\":false"), upgradeStatus());
        assertTrue(upgradeStatus().contains("\"under_way\":2"), upgradeStatus());
        reportInFlight();
        assertTrue(upgradeStatus().startsWith("{\"settled\":true"), upgradeStatus());
        assertEquals(node.instance("i1").ordinal, node.instance("i3").ordinal);
    }

    @Test
    void restartOfAllNodesRestoresTheUpstreamsFromTheDisk() {
        node.heartbeat("i", "ready", 1);
        node.heartbeat("d", "draining", 1);
        node.clock.run(1_000);
        assertEquals(
                List.of(Stage.READY, Stage.DRAINING),
                node.restarted().instances().stream().map(record -> record.stage).toList());
    }

    @Test
    void unresponsiveUpstreamIsLostUntilItsNextHeartbeat() {
        node.heartbeat("i", "ready", 1);
        node.heartbeat("d", "draining", 1);
        node.clock.run(4_000);
        assertEquals(Stage.LOST, node.plane.instances().get(0).stage);
        assertEquals(Stage.GONE, node.plane.instances().get(1).stage);
        node.heartbeat("i", "ready", 7);
        assertEquals(Stage.READY, node.plane.instances().get(0).stage);
    }

    @Test
    void resumedPrimaryMarksNoUpstreamAsLost() {
        node.heartbeat("i", "ready", 1);
        node.clock.run(3_500);
        node.heartbeat("i", "ready", 2);
        node.clock.freeze(6_000);
        node.clock.run(500);
        assertEquals(Stage.READY, node.plane.instances().get(0).stage);
    }
}
