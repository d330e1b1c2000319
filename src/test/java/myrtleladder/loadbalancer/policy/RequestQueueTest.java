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
    private static final long SECOND_US = SimulatedHost.SECOND_US;
    private static final long MILLISECOND_US = SimulatedHost.MILLISECOND_US;
    private final SettingsBuilder settings = new SettingsBuilder();

    /**
     * Guards against shedding while upstreams are idle: the first answers of a restarted balancer
     * are slow because of its own cold code. While the typical answer time of a class consisted of
     * these, the balancer rejected all queued requests.
     */
    @Test
    void slowFirstAnswersDoNotCauseShedding() {
        settings.lateValueFactor(0);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(1);
        for (int i = 0; i < 32; i++) {
            String id = host.request(0, 2 * SECOND_US);
            long tookUs = i < 8 ? 700 * MILLISECOND_US : 20 * MILLISECOND_US;
            host.advance(tookUs);
            host.endAttempt(id, Outcome.OK, tookUs, null);
        }
        String queued = host.request(0, 2 * SECOND_US);
        while (host.lastUpstream(queued) != null) {
            queued = host.request(0, 2 * SECOND_US);
        }
        host.advance(SECOND_US / 10);
        assertNull(host.lastUpstream(queued));
        assertFalse(host.rejected.contains(queued));
    }

    @Test
    void queuedRequestOfHigherPriorityIsSentFirst() {
        SimulatedHost host = SimulatedHost.of(settings);
        String lowPriority = host.request(0, 2 * SECOND_US);
        String highPriority = host.request(2, 2 * SECOND_US);
        assertNull(host.lastUpstream(lowPriority));
        host.listUpstreams(1);
        int highPriorityIndex = host.actions.indexOf(host.nowUs + " send " + highPriority + " u0");
        int lowPriorityIndex = host.actions.indexOf(host.nowUs + " send " + lowPriority + " u0");
        assertTrue(
                highPriorityIndex >= 0 && highPriorityIndex < lowPriorityIndex,
                host.actions.toString());
    }

    @Test
    void clientRetryIsShedSoonerThanFirstAttemptWhenRejectionsAreCommon() {
        for (boolean isRetry : new boolean[] {true, false}) {
            settings.lateValueFactor(0);
            SimulatedHost host = SimulatedHost.of(settings);
            for (int i = 0; i < 100; i++) {
                host.request(0, 2 * SECOND_US);
                host.advance(510 * MILLISECOND_US);
            }
            host.rejected.clear();
            host.balancer.onRequest(
                    host.nowUs, new Request("again", 0, 0, null, 0, 2 * SECOND_US, false, isRetry));
            host.advance(100 * MILLISECOND_US);
            assertEquals(isRetry, host.rejected.contains("again"));
        }
    }

    @Test
    void queuedRequestsPastLatencyTargetAreRejectedIfLateAnswersHaveNoValue() {
        for (double lateValueFactor : new double[] {0, 0.5}) {
            settings.lateValueFactor(lateValueFactor);
            SimulatedHost host = SimulatedHost.of(settings);
            host.request(0, 2 * SECOND_US);
            host.advance(600 * MILLISECOND_US);
            assertEquals(lateValueFactor == 0 ? 1 : 0, host.rejected.size());
            host.advance(1_500 * MILLISECOND_US);
            assertEquals(1, host.rejected.size());
        }
    }

    /** Guards against rejections without a retry-after: clients retried into the same queue. */
    @ParameterizedTest
    @CsvSource({"0, 0", "200, 200", "2500, 500"})
    void rejectionHasRetryAfterWherePermitted(int maxMs, int expectedMs) {
        settings.maxRetryAfterUs(maxMs * MILLISECOND_US);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        host.request(0, 0);
        assertEquals(List.of(expectedMs * MILLISECOND_US), host.retryAfterTimesUs);
    }

    @Test
    void emptyListQueuesRequestsUntilDeadlineAndNextListServesThem() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        host.balancer.onEndpointList(host.nowUs, EndpointListKind.COMPLETE, List.of());
        String rejected = host.request(0, 100 * MILLISECOND_US);
        host.advance(100 * MILLISECOND_US);
        assertEquals(List.of(rejected), host.rejected);
        String served = host.request(0, 2 * SECOND_US);
        assertNull(host.lastUpstream(served));
        host.listUpstreams(2);
        assertNotEquals(null, host.lastUpstream(served));
    }
}
