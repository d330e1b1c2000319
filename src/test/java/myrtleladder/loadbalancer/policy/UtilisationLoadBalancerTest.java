package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Properties of the load balancer that involve several of its classes. */
class UtilisationLoadBalancerTest {
    private static final long SECOND_US = SimulatedHost.SECOND_US;
    private static final long MILLISECOND_US = SimulatedHost.MILLISECOND_US;
    private final SettingsBuilder settings = new SettingsBuilder();

    @Test
    void sameEventsGiveSameActionsAndInstancesAreIndependent() {
        List<List<String>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            SimulatedHost host = SimulatedHost.of(settings).listUpstreams(5);
            SimulatedHost other = run == 0 ? null : SimulatedHost.of(settings).listUpstreams(2);
            for (int i = 0; i < 200; i++) {
                host.serve(
                        i % 3, 15 * MILLISECOND_US, upstream -> upstream.equals("u1") ? 0.9 : 0.4);
                if (other != null) {
                    other.serve(0, 90 * MILLISECOND_US, upstream -> 1);
                }
            }
            runs.add(host.actions);
        }
        assertEquals(runs.get(0), runs.get(1));
    }

    @Test
    void streamThatHasBegunIsNeitherCancelledNorAnswered() {
        settings.streaming(true);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(1);
        String id = host.request(0, 500 * MILLISECOND_US);
        host.balancer.onStreamOpened(host.nowUs, id, 0);
        host.advance(5 * SECOND_US);
        assertEquals(List.of(), host.failed);
        assertEquals(List.of(), host.rejected);
        assertEquals(List.of(), host.cancelled);
    }

    @Test
    void fiveHundredUpstreamsAndOneAreBothUsed() {
        SimulatedHost many = SimulatedHost.of(settings).listUpstreams(500);
        SimulatedHost one = SimulatedHost.of(settings).listUpstreams(1);
        for (int i = 0; i < 100; i++) {
            many.serve(0, 5 * MILLISECOND_US, upstream -> 0.5);
            one.serve(0, 5 * MILLISECOND_US, upstream -> 0.5);
        }
        assertTrue(many.sendsPerUpstream.size() > 50);
        assertEquals(100, one.sendsTo("u0"));
    }

    @Test
    void lateAndUnknownEventsAreIgnored() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(1);
        host.balancer.onClientDisconnected(host.nowUs, "never");
        host.balancer.onProbeResult(host.nowUs, "never", Outcome.OK, null);
        host.balancer.onProbeResult(host.nowUs, "u0", Outcome.TIMEOUT, null);
        host.balancer.onTimer(host.nowUs, "never");
        host.balancer.onPeerMessage(host.nowUs, 1, new byte[0]);
        host.balancer.onAttemptEnd(
                host.nowUs,
                new AttemptEnd(
                        "never", 0, "u0", Outcome.OK, 1, true, new LoadReport(1, 1, 1, 1, 1, 1)));
        assertTrue(host.actions.isEmpty(), host.actions.toString());
    }
}
