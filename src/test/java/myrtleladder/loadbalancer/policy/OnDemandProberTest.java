package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Loads are probed before a pick where probes are cheap. */
class OnDemandProberTest {
    private static final long SECOND_US = SimulatedHost.SECOND_US;
    private static final long MILLISECOND_US = SimulatedHost.MILLISECOND_US;
    private final SettingsBuilder settings = new SettingsBuilder();

    private SimulatedHost probingHost() {
        settings.groupSize(3);
        settings.loadReportSource(LoadReportSource.PROBES);
        settings.probePrice(0.001);
        return SimulatedHost.of(settings).listUpstreams(3);
    }

    @Test
    void subsetIsProbedAndUnresponsiveUpstreamsAreLeftOut() {
        SimulatedHost host = probingHost();
        for (int i = 0; i < 20; i++) {
            String id = host.request(0, 2 * SECOND_US);
            assertNull(host.lastUpstream(id));
            for (String upstream : List.copyOf(host.probes)) {
                if (!upstream.equals("u0")) {
                    host.balancer.onProbeResult(
                            host.nowUs,
                            upstream,
                            Outcome.OK,
                            new LoadReport(
                                    0.5,
                                    upstream.equals("u1") ? 5 : 0,
                                    0,
                                    Double.NaN,
                                    Double.NaN,
                                    Double.NaN));
                }
            }
            host.probes.clear();
            host.advance(20 * MILLISECOND_US);
            assertEquals("u2", host.lastUpstream(id));
            host.endAttempt(id, Outcome.OK, 20 * MILLISECOND_US, null);
            host.advance(100 * MILLISECOND_US);
        }
    }

    /**
     * Guards against picks by old load reports when the probe budget is spent: they overloaded all
     * upstreams (incident ief6859).
     */
    @Test
    void nothingIsSentWithoutFreshLoadWhenProbeBudgetIsSpent() {
        SimulatedHost host = probingHost();
        for (int i = 0; i < 40; i++) {
            host.request(0, 2 * SECOND_US);
            host.advance(20 * MILLISECOND_US);
        }
        assertTrue(host.probes.size() > 10, host.probes.size() + " probes");
        assertTrue(host.upstreamsByRequest.isEmpty(), host.upstreamsByRequest.toString());
    }
}
