package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import myrtleladder.loadbalancer.policy.Upstream.State;
import org.junit.jupiter.api.Test;

/** Changes of the endpoint list take effect at once. */
class UpstreamTableTest {
    private static final long MILLISECOND_US = SimulatedHost.MILLISECOND_US;
    private final SettingsBuilder settings = new SettingsBuilder();

    @Test
    void nothingIsSentToDrainingUpstreamOnceReported() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(2);
        host.changeEndpoint(SimulatedHost.endpoint(0, State.DRAINING, 0));
        for (int i = 0; i < 50; i++) {
            host.serve(0, 5 * MILLISECOND_US, upstream -> 0.5);
        }
        assertEquals(0, host.sendsTo("u0"));
        host.balancer.onEndpointList(
                host.nowUs,
                EndpointListKind.COMPLETE,
                List.of(SimulatedHost.endpoint(2, State.READY, 0)));
        host.sendsPerUpstream.clear();
        host.serve(0, 5 * MILLISECOND_US, upstream -> 0.5);
        assertEquals(Set.of("u2"), host.sendsPerUpstream.keySet());
    }
}
