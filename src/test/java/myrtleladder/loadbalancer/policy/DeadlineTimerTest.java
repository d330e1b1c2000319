package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Final answers are given before the deadline. */
class DeadlineTimerTest {
    private static final long MILLISECOND_US = SimulatedHost.MILLISECOND_US;
    private final SettingsBuilder settings = new SettingsBuilder();

    @Test
    void answerIsGivenBeforeDeadlineWithoutAnyUpstream() {
        SimulatedHost host = SimulatedHost.of(settings);
        host.request(2, 300 * MILLISECOND_US);
        host.advance(299 * MILLISECOND_US);
        assertEquals(1, host.rejected.size());
    }

    /**
     * Guards against answers after the deadline because the sweep is coarser than the permitted
     * slack (incidents idf3e8b, if6c2b8 and i4f07b8).
     */
    @Test
    void queuedRequestIsAnsweredBeforeDeadlineRegardlessOfSweep() {
        settings.tickUs(MILLISECOND_US);
        for (long timeLeftMs = 1; timeLeftMs <= 40; timeLeftMs++) {
            SimulatedHost host = SimulatedHost.of(settings);
            host.advance(timeLeftMs * 137);
            String id = host.request(2, timeLeftMs * MILLISECOND_US);
            host.advance(timeLeftMs * MILLISECOND_US);
            assertEquals(List.of(id), host.rejected, timeLeftMs + " ms");
        }
    }

    @Test
    void zeroAndNegativeTimeBudgetsAreAnsweredAtOnceAndNeverSent() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        String withoutTime = host.request(0, 0);
        String withNegativeTime = host.request(2, -5 * MILLISECOND_US);
        assertEquals(List.of(withoutTime, withNegativeTime), host.rejected);
        assertTrue(host.upstreamsByRequest.isEmpty(), host.upstreamsByRequest.toString());
    }
}
