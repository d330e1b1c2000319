package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import myrtleladder.loadbalancer.policy.Upstream.State;
import org.junit.jupiter.api.Test;

/** Unhealthy upstreams are ejected, and are used again after their ejection. */
class OutlierEjectionTest {
    private static final long SECOND_US = SimulatedHost.SECOND_US;
    private static final long MILLISECOND_US = SimulatedHost.MILLISECOND_US;
    private final SettingsBuilder settings = new SettingsBuilder();

    @Test
    void rareErrorsAndSlowAnswersDoNotEject() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        for (int i = 0; i < 300; i++) {
            String id = host.request(0, 2 * SECOND_US);
            boolean isSlow = host.lastUpstream(id).equals("u0");
            host.advance(isSlow ? 60 * MILLISECOND_US : 20 * MILLISECOND_US);
            if (isSlow && i % 20 == 0) {
                host.endAttempt(id, Outcome.ERROR, 60 * MILLISECOND_US, SimulatedHost.report(0.5));
            }
            host.endAttempt(id, Outcome.OK, 20 * MILLISECOND_US, SimulatedHost.report(0.5));
        }
        assertTrue(host.sendsTo("u0") > 40, host.sendsPerUpstream.toString());
        assertEquals(List.of(), host.cancelled);
    }

    @Test
    void quickErrorsEjectUpstreamThatWouldOtherwiseLookIdle() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(4);
        for (int i = 0; i < 300; i++) {
            String id = host.request(0, 2 * SECOND_US);
            host.advance(5 * MILLISECOND_US);
            while (host.lastUpstream(id).equals("u0")
                    && host.upstreamsByRequest.get(id).size() < 4) {
                host.endAttempt(id, Outcome.ERROR, 5 * MILLISECOND_US, SimulatedHost.report(0.01));
            }
            if (!host.lastUpstream(id).equals("u0")) {
                host.endAttempt(id, Outcome.OK, 5 * MILLISECOND_US, SimulatedHost.report(0.5));
            }
        }
        assertTrue(host.sendsTo("u0") < 40, host.sendsPerUpstream.toString());
    }

    @Test
    void hangingUpstreamIsEjected() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(4);
        for (int i = 0; i < 200; i++) {
            String id = host.request(0, 2 * SECOND_US);
            host.advance(20 * MILLISECOND_US);
            if (!host.lastUpstream(id).equals("u0")) {
                host.endAttempt(id, Outcome.OK, 20 * MILLISECOND_US, SimulatedHost.report(0.5));
            }
        }
        assertTrue(
                host.sendsTo("u0") > 0 && host.sendsTo("u0") < 12,
                host.sendsPerUpstream.toString());
    }

    @Test
    void ejectionsAreIgnoredBelowPanicThreshold() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        for (int i = 0; i < 60; i++) {
            String id = host.request(0, 2 * SECOND_US);
            host.advance(5 * MILLISECOND_US);
            for (int attempt = 0;
                    attempt < 4
                            && host.lastUpstream(id) != null
                            && host.upstreamsByRequest.get(id).size() > attempt;
                    attempt++) {
                host.endAttempt(id, Outcome.CONNECT_FAILED, 5 * MILLISECOND_US, null);
            }
        }
        host.advance(100 * MILLISECOND_US);
        host.sendsPerUpstream.clear();
        host.request(2, 2 * SECOND_US);
        host.advance(500 * MILLISECOND_US);
        assertFalse(host.sendsPerUpstream.isEmpty());
    }

    @Test
    void failedConnectEjectsDeadUpstreamButNotOneThatStillAnswers() {
        for (boolean isDown : new boolean[] {true, false}) {
            SimulatedHost host = SimulatedHost.of(settings).listUpstreams(1);
            String first = host.request(0, 2 * SECOND_US);
            String second = host.request(2, 2 * SECOND_US);
            host.advance(5 * MILLISECOND_US);
            if (!isDown) {
                host.endAttempt(first, Outcome.OK, 5 * MILLISECOND_US, null);
            }
            host.endAttempt(second, Outcome.CONNECT_FAILED, 5 * MILLISECOND_US, null);
            if (!isDown) {
                host.endAttempt(second, Outcome.OK, 5 * MILLISECOND_US, null);
            }
            host.changeEndpoint(SimulatedHost.endpoint(1, State.READY, 0));
            host.advance(100 * MILLISECOND_US);
            host.sendsPerUpstream.clear();
            for (int i = 0; i < 40; i++) {
                host.serve(0, 5 * MILLISECOND_US, upstream -> 0.5);
            }
            assertEquals(
                    isDown, host.sendsTo("u0") == 0, isDown + host.sendsPerUpstream.toString());
        }
    }

    @Test
    void fewConnectsFailWhenHalfTheFleetIsDownButListed() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(6);
        int failedConnects = 0;
        int served = 0;
        for (int i = 0; i < 400; i++) {
            String id = host.request(i % 3, 2 * SECOND_US);
            for (int attempts = 0; attempts < 4 && host.lastUpstream(id) != null; attempts++) {
                host.advance(5 * MILLISECOND_US);
                if (host.lastUpstream(id).compareTo("u3") >= 0) {
                    host.endAttempt(id, Outcome.OK, 5 * MILLISECOND_US, SimulatedHost.report(0.5));
                    served++;
                    break;
                }
                failedConnects++;
                host.endAttempt(id, Outcome.CONNECT_FAILED, 5 * MILLISECOND_US, null);
            }
        }
        assertTrue(served >= 395, "served " + served);
        assertTrue(failedConnects > 2 && failedConnects < 40, "failed connects " + failedConnects);
        for (int i = 3; i < 6; i++) {
            assertTrue(host.sendsTo("u" + i) > 80, host.sendsPerUpstream.toString());
        }
    }

    /**
     * Guards against sending all requests to a draining upstream, which looks idle because it
     * rejects them (seen on the standard day rough-2 of a deployment with rolling restarts).
     */
    @Test
    void upstreamThatRejectsWithShortQueueIsEjectedAsDraining() {
        settings.groupSize(3);
        settings.peerMessages(true);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        for (int i = 0; i < 40; i++) {
            String id = host.request(2, 2 * SECOND_US);
            host.advance(20 * MILLISECOND_US);
            while (host.lastUpstream(id).equals("u0")) {
                host.endAttempt(id, Outcome.FULL, MILLISECOND_US, null);
            }
            host.endAttempt(id, Outcome.OK, 20 * MILLISECOND_US, SimulatedHost.report(0.5));
        }
        assertTrue(host.sendsTo("u0") <= 2, host.sendsPerUpstream.toString());
    }
}
