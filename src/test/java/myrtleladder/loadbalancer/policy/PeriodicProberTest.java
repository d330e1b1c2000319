package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import org.junit.jupiter.api.Test;

/** Upstreams are probed in turn where load reports come by probe only. */
class PeriodicProberTest {
    private static final long SECOND_US = SimulatedHost.SECOND_US;
    private final SettingsBuilder settings = new SettingsBuilder();

    @Test
    void probesRunOnlyWhereReportsComeByProbe() {
        SimulatedHost none = SimulatedHost.of(settings).listUpstreams(3);
        none.advance(5 * SECOND_US);
        assertTrue(none.probes.isEmpty());
        settings.loadReportSource(LoadReportSource.PROBES);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        host.advance(60 * SECOND_US);
        assertEquals(3, new HashSet<>(host.probes).size());
        settings.probing(false);
        SimulatedHost forbidden = SimulatedHost.of(settings).listUpstreams(3);
        forbidden.advance(5 * SECOND_US);
        assertTrue(forbidden.probes.isEmpty());
    }
}
