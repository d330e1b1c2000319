package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Final answers are given before the deadline. */
class DeadlineTimerTest {
    private static final long MILLI = SimulatedHost.MILLI;
    private final SettingsBuilder settings = new SettingsBuilder();

    @Test
    void answerIsGivenBeforeDeadlineWithoutAnyUpstream() {
        SimulatedHost host = SimulatedHost.of(settings);
        host.request(2, 300 * MILLI);
        host.advance(299 * MILLI);
        assertEquals(1, host.rejected.size());
    }

    /**
     * Guards against answers after the deadline because the sweep is coarser than the permitted slack
     * (incidents idf3e8b, if6c2b8 and i4f07b8).
     */
    @Test
    void queuedRequestIsAnsweredBeforeDeadlineWhateverTheSweep() {
        settings.tickUs(MILLI);
        for (long timeLeft = 1; timeLeft <= 40; timeLeft++) {
            SimulatedHost host = SimulatedHost.of(settings);
            host.advance(timeLeft * 137);
            String id = host.request(2, timeLeft * MILLI);
            host.advance(timeLeft * MILLI);
            assertEquals(List.of(id), host.rejected, timeLeft + " ms");
        }
    }

    @Test
    void zeroAndNegativeTimeBudgetsAreAnsweredAtOnceAndNeverSent() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        String none = host.request(0, 0);
        String less = host.request(2, -5 * MILLI);
        assertEquals(List.of(none, less), host.rejected);
        assertTrue(host.sends.isEmpty(), host.sends.toString());
    }
}
