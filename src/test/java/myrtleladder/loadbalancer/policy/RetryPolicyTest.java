package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import myrtleladder.loadbalancer.policy.Upstream.State;
import org.junit.jupiter.api.Test;

/** Retries depend on the idempotency of the request. */
class RetryPolicyTest {
    private static final long SECOND_US = SimulatedHost.SECOND_US;
    private static final long MILLISECOND_US = SimulatedHost.MILLISECOND_US;
    private final SettingsBuilder settings = new SettingsBuilder();

    @Test
    void nonIdempotentRequestThatMayHaveRunFailsAndIsNeverSentAgain() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        String id = host.request(2, 2 * SECOND_US);
        host.endAttempt(id, Outcome.RESET, MILLISECOND_US, null);
        assertEquals(1, host.upstreamsByRequest.get(id).size());
        assertEquals(List.of(id), host.failed);
    }

    @Test
    void nonIdempotentRequestThatNeverRanIsSentAgain() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        String id = host.request(2, 2 * SECOND_US);
        host.endAttempt(id, Outcome.FULL, MILLISECOND_US, null);
        host.advance(100 * MILLISECOND_US);
        assertEquals(2, host.upstreamsByRequest.get(id).size());
    }

    @Test
    void keyedRequestIsRepeatedOnlyWithinItsZoneAndKeyRetention() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(9);
        String id = host.request(1, 2 * SECOND_US);
        host.endAttempt(id, Outcome.RESET, MILLISECOND_US, null);
        assertEquals(2, host.upstreamsByRequest.get(id).size());
        List<Integer> zones =
                host.upstreamsByRequest.get(id).stream()
                        .map(upstream -> Integer.parseInt(upstream.substring(1)) % 3)
                        .toList();
        assertEquals(zones.get(0), zones.get(1));
        host.advance(1_100 * MILLISECOND_US);
        host.endAttempt(id, Outcome.RESET, 1_100 * MILLISECOND_US, null);
        assertEquals(2, host.upstreamsByRequest.get(id).size());
        assertEquals(List.of(id), host.failed);
    }

    /**
     * A restart of the upstream between attempts does not permit more retries, because the earlier
     * attempt may have run in the old process.
     */
    @Test
    void restartBetweenAttemptsDoesNotPermitMoreRetries() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(9);
        for (int classIndex = 1; classIndex <= 2; classIndex++) {
            String id = host.request(classIndex, 2 * SECOND_US);
            int zone = Integer.parseInt(host.lastUpstream(id).substring(1)) % 3;
            host.changeEndpoint(
                    SimulatedHost.endpoint(
                            Integer.parseInt(host.lastUpstream(id).substring(1)),
                            State.READY,
                            host.nowUs));
            host.endAttempt(id, Outcome.RESET, MILLISECOND_US, null);
            assertEquals(classIndex == 1 ? 2 : 1, host.upstreamsByRequest.get(id).size());
            assertEquals(zone, Integer.parseInt(host.lastUpstream(id).substring(1)) % 3);
        }
    }
}
