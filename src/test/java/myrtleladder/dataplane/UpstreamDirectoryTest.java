package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import myrtleladder.protocol.InstanceRecord.Stage;
import org.junit.jupiter.api.Test;

/** Availability of the upstreams p1 to p3 of the service p as their records change. */
class UpstreamDirectoryTest {
    private final DataPlaneContext context = DataPlaneContext.withRouteOfEachKind();
    private final ScriptedConnectionPool connections = context.connections;
    private final DataPlane dataPlane = context.dataPlane;

    @Test
    void drainingUpstreamGetsNoRequestsEvenIfItIsReportedReadyAgain() {
        context.update(
                DataPlaneContext.record("p1", "p", Stage.DRAINING),
                DataPlaneContext.record("p2", "p", Stage.GONE));
        context.update(DataPlaneContext.record("p1", "p", Stage.READY));
        for (int i = 0; i < 5; i++) {
            context.send("/u/" + i);
            assertEquals("p3", connections.lastSent().upstream.record().id);
        }
    }

    @Test
    void lostUpstreamIsExcludedUnlessMostOfTheServiceIsLost() {
        context.update(DataPlaneContext.record("p1", "p", Stage.LOST));
        assertEquals(2, dataPlane.directory().available("p").size());
        context.update(DataPlaneContext.record("p2", "p", Stage.LOST));
        assertEquals(3, dataPlane.directory().available("p").size());
        context.update(DataPlaneContext.record("p1", "p", Stage.READY));
        assertEquals(2, dataPlane.directory().available("p").size());
    }
}
