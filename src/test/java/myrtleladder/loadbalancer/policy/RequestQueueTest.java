package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The queue is ordered by priority, and late requests are shed. */
class RequestQueueTest {
    private static final long SECOND = SimulatedHost.SECOND;
    private static final long MILLI = SimulatedHost.MILLI;
    private final SettingsBuilder settings = new SettingsBuilder();

    /**
     * Guards against shedding while upstreams are idle: the first answers of a restarted balancer are
     * slow because of its own cold code. While the typical answer time of a class consisted of
     * these, the balancer rejected all queued requests.
     */
    @Test
    void firstSlowAnswersAreSoonForgottenInAnswerTimeOfClass() {
        settings.lateWorth(0);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(1);
        for (int i = 0; i < 32; i++) {
            String id = host.request(0, 2 * SECOND);
            long took = i < 8 ? 700 * MILLI : 20 * MILLI;
            host.advance(took);
            host.endAttempt(id, Outcome.OK, took, null);
        }
        String held = host.request(0, 2 * SECOND);
        while (host.lastUpstream(held) != null) {
            held = host.request(0, 2 * SECOND);
        }
        host.advance(SECOND / 10);
        assertNull(host.lastUpstream(held));
        assertFalse(host.rejected.contains(held));
    }

    @Test
    void queuedRequestOfGreaterWorthGoesFirst() {
        SimulatedHost host = SimulatedHost.of(settings);
        String cheap = host.request(0, 2 * SECOND);
        String dear = host.request(2, 2 * SECOND);
        assertNull(host.lastUpstream(cheap));
        host.listUpstreams(1);
        int sentDear = host.actions.indexOf(host.nowUs + " send " + dear + " u0");
        int sentCheap = host.actions.indexOf(host.nowUs + " send " + cheap + " u0");
        assertTrue(sentDear >= 0 && sentDear < sentCheap, host.actions.toString());
    }

    @Test
    void markedRetryIsShedSoonerThanFirstAttemptOnceRejectionsAreUsual() {
        for (boolean retry : new boolean[] {true, false}) {
            settings.lateWorth(0);
            SimulatedHost host = SimulatedHost.of(settings);
            for (int i = 0; i < 100; i++) {
                host.request(0, 2 * SECOND);
                host.advance(510 * MILLI);
            }
            host.rejected.clear();
            host.balancer.request(
                    host.nowUs, new Request("again", 0, 0, null, 0, 2 * SECOND, false, retry));
            host.advance(100 * MILLI);
            assertEquals(retry, host.rejected.contains("again"));
        }
    }

    @Test
    void queuedRequestsPastLatencyTargetAreRejectedWhereLateIsWorthNothing() {
        for (double late : new double[] {0, 0.5}) {
            settings.lateWorth(late);
            SimulatedHost host = SimulatedHost.of(settings);
            host.request(0, 2 * SECOND);
            host.advance(600 * MILLI);
            assertEquals(late == 0 ? 1 : 0, host.rejected.size());
            host.advance(1_500 * MILLI);
            assertEquals(1, host.rejected.size());
        }
    }

    /** Guards against rejections without a retry-after: clients retried into the same queue. */
    @ParameterizedTest
    @CsvSource({"0, 0", "200, 200", "2500, 500"})
    void rejectionHasRetryAfterWherePermitted(int maxMs, int expectedMs) {
        settings.maxRetryAfterUs(maxMs * MILLI);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        host.request(0, 0);
        assertEquals(List.of(expectedMs * MILLI), host.retryAfterUs);
    }

    @Test
    void emptyListQueuesRequestsUntilDeadlineAndNextListServesThem() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        host.balancer.upstreams(host.nowUs, ListKind.COMPLETE, List.of());
        String refused = host.request(0, 100 * MILLI);
        host.advance(100 * MILLI);
        assertEquals(List.of(refused), host.rejected);
        String served = host.request(0, 2 * SECOND);
        assertNull(host.lastUpstream(served));
        host.listUpstreams(2);
        assertNotEquals(null, host.lastUpstream(served));
    }
}
