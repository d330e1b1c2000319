package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The in-flight limit depends on the queueing delay of answers. */
class ConcurrencyLimiterTest {
    private static final long SECOND = SimulatedHost.SECOND;
    private static final long MILLI = SimulatedHost.MILLI;
    private final SettingsBuilder settings = new SettingsBuilder();

    @Test
    void slowAnswersLowerInFlightLimitAndRequestsAreQueued() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(2);
        for (int i = 0; i < 60; i++) {
            String id = host.request(0, 2 * SECOND);
            if (host.lastUpstream(id) != null) {
                host.advance(i < 10 ? 20 * MILLI : 900 * MILLI);
                host.endAttempt(id, Outcome.OK, i < 10 ? 20 * MILLI : 900 * MILLI, null);
            }
        }
        host.sendsPerUpstream.clear();
        for (int i = 0; i < 20; i++) {
            host.request(0, 2 * SECOND);
        }
        int sent = host.sendsPerUpstream.values().stream().mapToInt(Integer::intValue).sum();
        assertTrue(sent <= 2, "sent " + sent);
    }

    /**
     * Guards against rounding an in-flight limit below 1 up to 1: 14 balancers then kept sending 14
     * requests at a time to a full upstream.
     */
    @ParameterizedTest(name = "{0} balancers")
    @CsvSource({"1, 0", "14, 100"})
    void manyBalancersPauseAfterSlowAnswers(int group, int leastPauseMs) {
        settings.groupSize(group);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(1);
        for (int i = 0; i < 8; i++) {
            String slow = host.request(0, 2 * SECOND);
            for (int ms = 0; host.lastUpstream(slow) == null; ms++) {
                assertTrue(ms < 2_000, "not sent within 2 s");
                host.advance(MILLI);
            }
            long took = i == 0 ? 20 * MILLI : SECOND / 4;
            host.advance(took);
            host.endAttempt(slow, Outcome.OK, took, null);
        }
        String next = host.request(0, 2 * SECOND);
        int pause = 0;
        for (; host.lastUpstream(next) == null && pause < 2_000; pause++) {
            host.advance(MILLI);
        }
        assertTrue(pause >= leastPauseMs && pause < 2_000, "paused for " + pause + " ms");
    }

    /**
     * Guards against pauses before any queueing delay was seen: a restarted balancer left an idle
     * fleet nearly unused.
     */
    @Test
    void thereIsNoPauseBeforeAnyWaitWasSeen() {
        settings.groupSize(14);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(1);
        for (int i = 0; i < 20; i++) {
            String id = host.request(0, 2 * SECOND);
            assertEquals("u0", host.lastUpstream(id));
            host.advance(20 * MILLI);
            host.endAttempt(id, Outcome.OK, 20 * MILLI, null);
        }
    }

    @Test
    void withRoomNothingIsQueued() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(4);
        String id = host.request(0, 2 * SECOND);
        assertNotEquals(null, host.lastUpstream(id));
    }
}
