package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import myrtleladder.loadbalancer.policy.Upstream.State;
import org.junit.jupiter.api.Test;

/** The subscription to the endpoint list is retried with backoff. */
class EndpointSubscriptionTest {
    private static final long SECOND = SimulatedHost.SECOND;
    private static final long MILLI = SimulatedHost.MILLI;
    private final SettingsBuilder settings = new SettingsBuilder();

    /** Maximum time between sweeps with no request queued. */
    private static final long IDLE_SWEEP_US = 75 * SimulatedHost.MILLI;

    @Test
    void subscriptionIsAskedForWhereTheListMustBeAsked() {
        settings.askForList(true);
        SimulatedHost host = SimulatedHost.of(settings);
        assertTrue(host.actions.contains(host.nowUs + " subscribe true"));
        host.balancer.upstreams(host.nowUs, ListKind.UNAVAILABLE, List.of());
        host.advance(5 * SECOND);
        assertTrue(host.actions.stream().filter(d -> d.endsWith("subscribe true")).count() >= 2);
        settings.askForList(false);
        assertTrue(SimulatedHost.of(settings).actions.isEmpty());
    }

    /**
     * Guards against retries at a constant rate: a whole fleet kept calling an overloaded service
     * discovery, however long it failed.
     */
    @Test
    void failedSubscriptionIsRetriedWithBackoffUntilListComes() {
        settings.askForList(true);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(2);
        long first = pauseAfterFailure(host);
        assertTrue(first >= SECOND / 2 && first <= 2 * SECOND, "first after " + first);
        List<Long> grown = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            grown.add(pauseAfterFailure(host));
        }
        double mean = grown.stream().mapToLong(p -> p).average().orElseThrow();
        assertTrue(mean > 1.5 * SECOND, "in the end after " + grown);
        // Balancers must know a change within 6 s, which has to leave time for two calls, one of
        // which may fail.
        assertTrue(
                grown.stream().allMatch(p -> p <= 3 * SECOND + IDLE_SWEEP_US),
                "in the end after " + grown);
        host.changeEndpoint(SimulatedHost.endpoint(1, State.DRAINING, 0));
        assertTrue(pauseAfterFailure(host) <= 2 * SECOND);
    }

    /** Time from a failed call to the next subscription, microseconds. */
    private static long pauseAfterFailure(SimulatedHost host) {
        long failed = host.nowUs;
        host.actions.clear();
        host.balancer.upstreams(host.nowUs, ListKind.UNAVAILABLE, List.of());
        while (host.actions.stream().noneMatch(line -> line.endsWith("subscribe true"))) {
            assertTrue(host.nowUs - failed < 60 * SECOND, "no retry within 60 s");
            host.advance(10 * MILLI);
        }
        return host.nowUs - failed;
    }
}
