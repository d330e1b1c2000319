package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import myrtleladder.loadbalancer.policy.Upstream.State;
import org.junit.jupiter.api.Test;

/** Unhealthy upstreams are ejected, and are used again after their ejection. */
class OutlierEjectionTest {
    private static final long SECOND = SimulatedHost.SECOND;
    private static final long MILLI = SimulatedHost.MILLI;
    private final SettingsBuilder settings = new SettingsBuilder();

    @Test
    void rareErrorsAndSlowAnswersEjectNobody() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        for (int i = 0; i < 300; i++) {
            String id = host.request(0, 2 * SECOND);
            boolean slow = host.lastUpstream(id).equals("u0");
            host.advance(slow ? 60 * MILLI : 20 * MILLI);
            if (slow && i % 20 == 0) {
                host.endAttempt(id, Outcome.ERROR, 60 * MILLI, SimulatedHost.report(0.5));
            }
            host.endAttempt(id, Outcome.OK, 20 * MILLI, SimulatedHost.report(0.5));
        }
        assertTrue(host.sendsTo("u0") > 40, host.sendsPerUpstream.toString());
        assertEquals(List.of(), host.cancelled);
    }

    @Test
    void quickErrorsEjectUpstreamThatWouldOtherwiseLookIdle() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(4);
        for (int i = 0; i < 300; i++) {
            String id = host.request(0, 2 * SECOND);
            host.advance(5 * MILLI);
            while (host.lastUpstream(id).equals("u0") && host.sends.get(id).size() < 4) {
                host.endAttempt(id, Outcome.ERROR, 5 * MILLI, SimulatedHost.report(0.01));
            }
            if (!host.lastUpstream(id).equals("u0")) {
                host.endAttempt(id, Outcome.OK, 5 * MILLI, SimulatedHost.report(0.5));
            }
        }
        assertTrue(host.sendsTo("u0") < 40, host.sendsPerUpstream.toString());
    }

    @Test
    void hangingUpstreamIsEjected() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(4);
        for (int i = 0; i < 200; i++) {
            String id = host.request(0, 2 * SECOND);
            host.advance(20 * MILLI);
            if (!host.lastUpstream(id).equals("u0")) {
                host.endAttempt(id, Outcome.OK, 20 * MILLI, SimulatedHost.report(0.5));
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
            String id = host.request(0, 2 * SECOND);
            host.advance(5 * MILLI);
            for (int k = 0;
                    k < 4 && host.lastUpstream(id) != null && host.sends.get(id).size() > k;
                    k++) {
                host.endAttempt(id, Outcome.CONNECT_FAILED, 5 * MILLI, null);
            }
        }
        host.advance(100 * MILLI);
        host.sendsPerUpstream.clear();
        host.request(2, 2 * SECOND);
        host.advance(500 * MILLI);
        assertFalse(host.sendsPerUpstream.isEmpty());
    }

    @Test
    void failedConnectEjectsDeadUpstreamButNotOneThatStillAnswers() {
        for (boolean dead : new boolean[] {true, false}) {
            SimulatedHost host = SimulatedHost.of(settings).listUpstreams(1);
            String first = host.request(0, 2 * SECOND);
            String second = host.request(2, 2 * SECOND);
            host.advance(5 * MILLI);
            if (!dead) {
                host.endAttempt(first, Outcome.OK, 5 * MILLI, null);
            }
            host.endAttempt(second, Outcome.CONNECT_FAILED, 5 * MILLI, null);
            if (!dead) {
                host.endAttempt(second, Outcome.OK, 5 * MILLI, null);
            }
            host.changeEndpoint(SimulatedHost.endpoint(1, State.READY, 0));
            host.advance(100 * MILLI);
            host.sendsPerUpstream.clear();
            for (int i = 0; i < 40; i++) {
                host.serve(0, 5 * MILLI, upstream -> 0.5);
            }
            assertEquals(dead, host.sendsTo("u0") == 0, dead + host.sendsPerUpstream.toString());
        }
    }

    @Test
    void halfTheFleetGoneUnknownToTheListCostsLittle() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(6);
        int failedConnects = 0;
        int served = 0;
        for (int i = 0; i < 400; i++) {
            String id = host.request(i % 3, 2 * SECOND);
            for (int tries = 0; tries < 4 && host.lastUpstream(id) != null; tries++) {
                host.advance(5 * MILLI);
                if (host.lastUpstream(id).compareTo("u3") >= 0) {
                    host.endAttempt(id, Outcome.OK, 5 * MILLI, SimulatedHost.report(0.5));
                    served++;
                    break;
                }
                failedConnects++;
                host.endAttempt(id, Outcome.CONNECT_FAILED, 5 * MILLI, null);
            }
        }
        assertTrue(served >= 395, "served " + served);
        assertTrue(failedConnects > 2 && failedConnects < 40, "failed connects " + failedConnects);
        for (int i = 3; i < 6; i++) {
            assertTrue(host.sendsTo("u" + i) > 80, host.sendsPerUpstream.toString());
        }
    }

    /**
     * Guards against sending all requests to a draining upstream, which looks idle because it rejects
     * them (seen on the standard day rough-2 of a deployment with rolling restarts).
     */
    @Test
    void upstreamThatRejectsWithShortQueueIsEjectedAsDraining() {
        settings.groupSize(3);
        settings.peers(true);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        for (int i = 0; i < 40; i++) {
            String id = host.request(2, 2 * SECOND);
            host.advance(20 * MILLI);
            while (host.lastUpstream(id).equals("u0")) {
                host.endAttempt(id, Outcome.FULL, MILLI, null);
            }
            host.endAttempt(id, Outcome.OK, 20 * MILLI, SimulatedHost.report(0.5));
        }
        assertTrue(host.sendsTo("u0") <= 2, host.sendsPerUpstream.toString());
    }
}
