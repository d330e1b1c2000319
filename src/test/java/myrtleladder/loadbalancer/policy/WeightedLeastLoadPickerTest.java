package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import myrtleladder.loadbalancer.policy.Upstream.State;
import org.junit.jupiter.api.Test;

/** Picks depend on weights, load, ratings and zones. */
class WeightedLeastLoadPickerTest {
    private static final long SECOND_US = SimulatedHost.SECOND_US;
    private static final long MILLISECOND_US = SimulatedHost.MILLISECOND_US;
    private final SettingsBuilder settings = new SettingsBuilder();

    @Test
    void shareFallsAboveMeanUtilisationAndRisesBelow() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        for (int i = 0; i < 600; i++) {
            host.serve(
                    0,
                    20 * MILLISECOND_US,
                    upstream -> upstream.equals("u0") ? 0.9 : upstream.equals("u1") ? 0.5 : 0.1);
        }
        assertTrue(host.sendsTo("u0") < host.sendsTo("u1"), host.sendsPerUpstream.toString());
        assertTrue(host.sendsTo("u1") * 2 < host.sendsTo("u2"), host.sendsPerUpstream.toString());
    }

    /**
     * Guards against applying the load report of the process before a restart to the new process.
     */
    @Test
    void reportOfProcessBeforeRestartIsNotAppliedToNewProcess() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        for (int i = 0; i < 300; i++) {
            host.serve(0, 10 * MILLISECOND_US, upstream -> 0.1);
        }
        String oldRequest = host.requestToFirstUpstream(0);
        host.changeEndpoint(SimulatedHost.endpoint(0, State.READY, host.nowUs - 25 * SECOND_US));
        host.endAttempt(oldRequest, Outcome.OK, 20 * MILLISECOND_US, SimulatedHost.report(1));
        host.advance(500 * MILLISECOND_US);
        host.sendsPerUpstream.clear();
        for (int i = 0; i < 400; i++) {
            String id = host.request(0, 2 * SECOND_US);
            host.balancer.onClientDisconnected(host.nowUs, id);
            host.endAttempt(id, Outcome.CANCELLED, 1, null);
        }
        assertTrue(host.sendsTo("u0") > 100, host.sendsPerUpstream.toString());
    }

    @Test
    void equalUtilisationKeepsEqualShares() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        for (int i = 0; i < 600; i++) {
            host.serve(0, 20 * MILLISECOND_US, upstream -> 0.6);
        }
        for (int i = 0; i < 3; i++) {
            assertEquals(200, host.sendsTo("u" + i), 50, host.sendsPerUpstream.toString());
        }
    }

    @Test
    void withoutReportsPicksFollowInFlight() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(4);
        for (int i = 0; i < 4; i++) {
            host.request(2, 2 * SECOND_US);
        }
        assertTrue(host.sendsPerUpstream.size() >= 3, host.sendsPerUpstream.toString());
    }

    @Test
    void nominalRatingIsFactorOnlyWhereRatingsAreUsed() {
        for (CapacityRatingKind ratings :
                List.of(CapacityRatingKind.NOMINAL, CapacityRatingKind.NONE)) {
            settings.ratingKind(ratings);
            SimulatedHost host = SimulatedHost.of(settings);
            host.balancer.onEndpointList(
                    host.nowUs,
                    EndpointListKind.RESTORED,
                    List.of(
                            new Upstream("u0", 0, 0, 0, State.READY, 3, 0),
                            new Upstream("u1", 0, 0, 0, State.READY, 1, 0)));
            host.advance(SECOND_US);
            for (int i = 0; i < 200; i++) {
                host.serve(0, 20 * MILLISECOND_US, upstream -> 0.5);
            }
            assertEquals(
                    ratings == CapacityRatingKind.NOMINAL,
                    host.sendsTo("u0") > 150,
                    host.sendsPerUpstream.toString());
        }
    }

    @Test
    void implausibleReportsAreIgnoredAndSlightExcessIsClamped() {
        double[] implausible = {Double.NaN, -7, 1e9, Double.POSITIVE_INFINITY};
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        for (int i = 0; i < 400; i++) {
            double utilisation = implausible[i % implausible.length];
            host.serve(
                    0, 20 * MILLISECOND_US, upstream -> upstream.equals("u0") ? utilisation : 0.5);
        }
        assertEquals(133, host.sendsTo("u0"), 50, host.sendsPerUpstream.toString());
        SimulatedHost full = SimulatedHost.of(settings).listUpstreams(3);
        for (int i = 0; i < 400; i++) {
            full.serve(0, 20 * MILLISECOND_US, upstream -> upstream.equals("u0") ? 1.03 : 0.3);
        }
        assertTrue(full.sendsTo("u0") < 80, full.sendsPerUpstream.toString());
    }

    @Test
    void ownZoneIsPreferredWhereCrossingZonesCosts() {
        for (double price : new double[] {0, 0.05}) {
            settings.crossZonePrice(price);
            SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
            for (int i = 0; i < 300; i++) {
                host.serve(0, 20 * MILLISECOND_US, upstream -> 0.3);
            }
            assertEquals(price > 0, host.sendsTo("u0") > 250, host.sendsPerUpstream.toString());
        }
    }
}
