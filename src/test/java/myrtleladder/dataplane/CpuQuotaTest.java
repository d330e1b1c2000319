package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import myrtleladder.dataplane.RequestCounters.Event;
import myrtleladder.dataplane.ScriptedConnectionPool.SentRequest;
import org.junit.jupiter.api.Test;

/**
 * A balancer under a CPU quota runs for a part of each 100 ms period and is paused for the rest. It
 * must not mistake its own pauses for unresponsive upstreams.
 */
class CpuQuotaTest {
    private static final long RUNNING_MS = 10;
    private static final long PAUSED_MS = 90;
    private static final int PERIODS = 100;

    /** Number of periods after which an upstream responds. */
    private static final int RESPONSE_DELAY_PERIODS = 3;

    private final DataPlaneContext context = DataPlaneContext.withRouteOfEachKind();

    private void runPeriod() {
        context.clock.freeze(PAUSED_MS);
        context.clock.run(RUNNING_MS);
    }

    @Test
    void ownPausesDoNotMakeUpstreamsUnresponsiveOrFailRequests() {
        List<ScriptedClient> clients = new ArrayList<>();
        for (int period = 0; period < PERIODS; period++) {
            runPeriod();
            clients.add(context.send(period % 2 == 0 ? "/i/" + period : "/s/" + period));
            int respondedIndex = context.connections.sent.size() - 1 - RESPONSE_DELAY_PERIODS;
            if (respondedIndex >= 0) {
                respond(context.connections.sent.get(respondedIndex));
            }
        }
        for (int i = 0; i < clients.size() - RESPONSE_DELAY_PERIODS; i++) {
            assertEquals(200, clients.get(i).status, "request " + i);
        }
        assertEquals(PERIODS, context.connections.sent.size(), "nothing was sent twice");
        assertEquals(0, context.dataPlane.counters().get(Event.UNRESPONSIVE));
        for (Upstream upstream : context.dataPlane.directory().all()) {
            assertFalse(upstream.isEjected(context.clock.now()), upstream.record().id);
        }
    }

    private static void respond(SentRequest sent) {
        sent.respondHead(200);
        if (sent.head.target().startsWith("/s/")) {
            sent.sendEvent(1);
        }
        sent.completeResponse();
    }
}
