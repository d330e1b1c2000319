package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import org.junit.jupiter.api.Test;

/** Upstreams are probed in turn where load reports come by probe only. */
class PeriodicProberTest {
    private static final long SECOND = SimulatedHost.SECOND;
    private final SettingsBuilder settings = new SettingsBuilder();

    @Test
    void probesRunOnlyWhereReportsComeByProbe() {
        SimulatedHost none = SimulatedHost.of(settings).listUpstreams(3);
        none.advance(5 * SECOND);
        assertTrue(none.probes.isEmpty());
        settings.reports(Reports.BY_PROBE);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        host.advance(60 * SECOND);
        assertEquals(3, new HashSet<>(host.probes).size());
        settings.probes(false);
        SimulatedHost forbidden = SimulatedHost.of(settings).listUpstreams(3);
        forbidden.advance(5 * SECOND);
        assertTrue(forbidden.probes.isEmpty());
    }
}
