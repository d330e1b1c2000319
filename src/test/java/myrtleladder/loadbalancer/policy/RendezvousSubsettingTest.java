package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** In large groups, each balancer uses a subset of the upstreams. */
class RendezvousSubsettingTest {
    private static final long MILLISECOND_US = SimulatedHost.MILLISECOND_US;
    private final SettingsBuilder settings = new SettingsBuilder();

    @Test
    void inLargeGroupEachBalancerUsesFewUpstreamsAndAllAreUsed() {
        settings.groupSize(120);
        settings.peerMessages(true);
        Set<String> all = new HashSet<>();
        for (int position = 0; position < 120; position++) {
            settings.position(position);
            SimulatedHost host = SimulatedHost.of(settings).listUpstreams(40);
            for (int i = 0; i < 40; i++) {
                host.serve(0, 20 * MILLISECOND_US, upstream -> 0.5);
            }
            assertTrue(host.sendsPerUpstream.size() <= 4, host.sendsPerUpstream.toString());
            all.addAll(host.sendsPerUpstream.keySet());
        }
        assertEquals(40, all.size());
    }
}
