package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import myrtleladder.dataplane.RequestCounters.Event;
import myrtleladder.dataplane.ScriptedConnectionPool.SentRequest;
import org.junit.jupiter.api.Test;

/**
 * A balancer whose share of a core is a quota: it runs for a while and stands still for the rest of
 * each tenth of a second. Its own pauses are not taken for those of upstreams.
 */
class CoreQuotaTest {
    private static final long RUNNING_MS = 10;
    private static final long STANDING_STILL_MS = 90;
    private static final int PERIODS = 100;

    /** An upstream answers so many periods after the request. */
    private static final int ANSWERED_AFTER = 3;

    private final DataPlaneContext context = DataPlaneContext.withRouteOfEachKind();

    private void nextPeriod() {
        context.clock.freeze(STANDING_STILL_MS);
        context.clock.run(RUNNING_MS);
    }

    @Test
    void noUpstreamIsTakenForUnresponsiveAndNoRequestGivenUp() {
        List<ScriptedClient> clients = new ArrayList<>();
        for (int period = 0; period < PERIODS; period++) {
            nextPeriod();
            clients.add(context.send(period % 2 == 0 ? "/i/" + period : "/s/" + period));
            int answered = context.connections.sent.size() - 1 - ANSWERED_AFTER;
            if (answered >= 0) {
                answer(context.connections.sent.get(answered));
            }
        }
        for (int i = 0; i < clients.size() - ANSWERED_AFTER; i++) {
            assertEquals(200, clients.get(i).status, "request " + i);
        }
        assertEquals(PERIODS, context.connections.sent.size(), "nothing was sent twice");
        assertEquals(0, context.dataPlane.counters().get(Event.UNRESPONSIVE));
        for (Upstream upstream : context.dataPlane.directory().all()) {
            assertFalse(upstream.isEjected(context.clock.now()), upstream.record().id);
        }
    }

    private static void answer(SentRequest sent) {
        sent.respondHead(200);
        if (sent.head.target().startsWith("/s/")) {
            sent.sendEvent(1);
        }
        sent.completeResponse();
    }
}
