package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import myrtleladder.loadbalancer.policy.Upstream.State;
import org.junit.jupiter.api.Test;

/** The subscription to the endpoint list is retried with backoff. */
class EndpointSubscriptionTest {
    private static final long SECOND_US = SimulatedHost.SECOND_US;
    private static final long MILLISECOND_US = SimulatedHost.MILLISECOND_US;
    private final SettingsBuilder settings = new SettingsBuilder();

    /** Maximum time between sweeps with no request queued. */
    private static final long MAX_IDLE_SWEEP_US = 75 * SimulatedHost.MILLISECOND_US;

    @Test
    void subscribesOnlyWhereSubscriptionIsRequired() {
        settings.listSubscriptionRequired(true);
        SimulatedHost host = SimulatedHost.of(settings);
        assertTrue(host.actions.contains(host.nowUs + " subscribe true"));
        host.balancer.onEndpointList(host.nowUs, EndpointListKind.UNAVAILABLE, List.of());
        host.advance(5 * SECOND_US);
        assertTrue(
                host.actions.stream().filter(action -> action.endsWith("subscribe true")).count()
                        >= 2);
        settings.listSubscriptionRequired(false);
        assertTrue(SimulatedHost.of(settings).actions.isEmpty());
    }

    /**
     * Guards against retries at a constant rate: a whole fleet kept calling an overloaded service
     * discovery, however long it failed.
     */
    @Test
    void failedSubscriptionIsRetriedWithBackoffUntilListComes() {
        settings.listSubscriptionRequired(true);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(2);
        long firstDelayUs = retryDelayUsAfterFailure(host);
        assertTrue(
                firstDelayUs >= SECOND_US / 2 && firstDelayUs <= 2 * SECOND_US,
                "first after " + firstDelayUs);
        List<Long> delaysUs = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            delaysUs.add(retryDelayUsAfterFailure(host));
        }
        double meanUs = delaysUs.stream().mapToLong(delayUs -> delayUs).average().orElseThrow();
        assertTrue(meanUs > 1.5 * SECOND_US, "in the end after " + delaysUs);
        // Balancers must know a change within 6 s, which has to leave time for two calls, one of
        // which may fail.
        assertTrue(
                delaysUs.stream().allMatch(delayUs -> delayUs <= 3 * SECOND_US + MAX_IDLE_SWEEP_US),
                "in the end after " + delaysUs);
        host.changeEndpoint(SimulatedHost.endpoint(1, State.DRAINING, 0));
        assertTrue(retryDelayUsAfterFailure(host) <= 2 * SECOND_US);
    }

    /** Time from a failed call to the next subscription, microseconds. */
    private static long retryDelayUsAfterFailure(SimulatedHost host) {
        long failedAtUs = host.nowUs;
        host.actions.clear();
        host.balancer.onEndpointList(host.nowUs, EndpointListKind.UNAVAILABLE, List.of());
        while (host.actions.stream().noneMatch(action -> action.endsWith("subscribe true"))) {
            assertTrue(host.nowUs - failedAtUs < 60 * SECOND_US, "no retry within 60 s");
            host.advance(10 * MILLISECOND_US);
        }
        return host.nowUs - failedAtUs;
    }
}
