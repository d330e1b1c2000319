package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import myrtleladder.loadbalancer.policy.Upstream.State;
import org.junit.jupiter.api.Test;

/** Retries depend on the idempotency of the request. */
class RetryPolicyTest {
    private static final long SECOND = SimulatedHost.SECOND;
    private static final long MILLI = SimulatedHost.MILLI;
    private final SettingsBuilder settings = new SettingsBuilder();

    @Test
    void unsafeRequestThatMayHaveRunFailsAndIsNeverSentAgain() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        String id = host.request(2, 2 * SECOND);
        host.endAttempt(id, Outcome.RESET, MILLI, null);
        assertEquals(1, host.sends.get(id).size());
        assertEquals(List.of(id), host.failed);
    }

    @Test
    void unsafeRequestThatProvablyNeverRanIsSentAgain() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        String id = host.request(2, 2 * SECOND);
        host.endAttempt(id, Outcome.FULL, MILLI, null);
        host.advance(100 * MILLI);
        assertEquals(2, host.sends.get(id).size());
    }

    @Test
    void keyedRequestIsRepeatedOnlyWithinItsZoneAndMemorySpan() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(9);
        String id = host.request(1, 2 * SECOND);
        host.endAttempt(id, Outcome.RESET, MILLI, null);
        assertEquals(2, host.sends.get(id).size());
        List<Integer> zones =
                host.sends.get(id).stream()
                        .map(upstream -> Integer.parseInt(upstream.substring(1)) % 3)
                        .toList();
        assertEquals(zones.get(0), zones.get(1));
        host.advance(1_100 * MILLI);
        host.endAttempt(id, Outcome.RESET, 1_100 * MILLI, null);
        assertEquals(2, host.sends.get(id).size());
        assertEquals(List.of(id), host.failed);
    }

    /**
     * A restart of the upstream between attempts does not permit more retries, because the earlier
     * attempt may have run in the old process.
     */
    @Test
    void restartBetweenAttemptsKeepsKeyedRequestToItsZoneAndUnsafeOneUnsent() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(9);
        for (int cls = 1; cls <= 2; cls++) {
            String id = host.request(cls, 2 * SECOND);
            int zone = Integer.parseInt(host.lastUpstream(id).substring(1)) % 3;
            host.changeEndpoint(
                    SimulatedHost.endpoint(
                            Integer.parseInt(host.lastUpstream(id).substring(1)),
                            State.READY,
                            host.nowUs));
            host.endAttempt(id, Outcome.RESET, MILLI, null);
            assertEquals(cls == 1 ? 2 : 1, host.sends.get(id).size());
            assertEquals(zone, Integer.parseInt(host.lastUpstream(id).substring(1)) % 3);
        }
    }
}
