package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The in-flight limit depends on the queueing delay of answers. */
class ConcurrencyLimiterTest {
    private static final long SECOND_US = SimulatedHost.SECOND_US;
    private static final long MILLISECOND_US = SimulatedHost.MILLISECOND_US;
    private final SettingsBuilder settings = new SettingsBuilder();

    @Test
    void slowAnswersLowerInFlightLimitAndRequestsAreQueued() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(2);
        for (int i = 0; i < 60; i++) {
            String id = host.request(0, 2 * SECOND_US);
            if (host.lastUpstream(id) != null) {
                host.advance(i < 10 ? 20 * MILLISECOND_US : 900 * MILLISECOND_US);
                host.endAttempt(
                        id, Outcome.OK, i < 10 ? 20 * MILLISECOND_US : 900 * MILLISECOND_US, null);
            }
        }
        host.sendsPerUpstream.clear();
        for (int i = 0; i < 20; i++) {
            host.request(0, 2 * SECOND_US);
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
    void manyBalancersPauseAfterSlowAnswers(int groupSize, int minPauseMs) {
        settings.groupSize(groupSize);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(1);
        for (int i = 0; i < 8; i++) {
            String slow = host.request(0, 2 * SECOND_US);
            for (int ms = 0; host.lastUpstream(slow) == null; ms++) {
                assertTrue(ms < 2_000, "not sent within 2 s");
                host.advance(MILLISECOND_US);
            }
            long tookUs = i == 0 ? 20 * MILLISECOND_US : SECOND_US / 4;
            host.advance(tookUs);
            host.endAttempt(slow, Outcome.OK, tookUs, null);
        }
        String next = host.request(0, 2 * SECOND_US);
        int pauseMs = 0;
        for (; host.lastUpstream(next) == null && pauseMs < 2_000; pauseMs++) {
            host.advance(MILLISECOND_US);
        }
        assertTrue(pauseMs >= minPauseMs && pauseMs < 2_000, "paused for " + pauseMs + " ms");
    }

    /**
     * Guards against pauses before any queueing delay was seen: a restarted balancer left an idle
     * fleet nearly unused.
     */
    @Test
    void noPauseBeforeAnyQueueingDelayWasSeen() {
        settings.groupSize(14);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(1);
        for (int i = 0; i < 20; i++) {
            String id = host.request(0, 2 * SECOND_US);
            assertEquals("u0", host.lastUpstream(id));
            host.advance(20 * MILLISECOND_US);
            host.endAttempt(id, Outcome.OK, 20 * MILLISECOND_US, null);
        }
    }

    @Test
    void requestIsSentAtOnceWithCapacity() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(4);
        String id = host.request(0, 2 * SECOND_US);
        assertNotEquals(null, host.lastUpstream(id));
    }
}
