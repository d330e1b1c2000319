package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import myrtleladder.loadbalancer.policy.Upstream.State;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Measures the time per request, the time per change of the upstream list and the heap of one of
 * 440 balancers, with 100 to 6,300 upstreams.
 */
@Tag("long")
class UtilisationLoadBalancerCapacityTest {
    private static final int[] UPSTREAM_COUNTS = {100, 400, 1_600, 6_300};
    private static final int BALANCERS = 440;
    private static final int WARM_UP_REQUESTS = 20_000;
    private static final int MEASURED_REQUESTS = 20_000;
    private static final int IN_FLIGHT = 32;
    private static final long ARRIVAL_INTERVAL_US = 4_000;

    /**
     * Queues a successful outcome for each attempt that is sent. It records nothing else, so that
     * the heap and the time measured are those of the balancer.
     */
    private static final class RecordingHost extends SimulatedHost {
        final Deque<AttemptEnd> outstanding = new ArrayDeque<>();

        int arrivedRequests;

        RecordingHost(SettingsBuilder settings) {
            balancer = new UtilisationLoadBalancer(settings.build(), 1, this);
            balancer.start(nowUs);
        }

        @Override
        public void send(String requestId, String upstreamId, long timeoutUs) {
            outstanding.add(
                    new AttemptEnd(
                            requestId,
                            0,
                            upstreamId,
                            Outcome.OK,
                            20 * MILLISECOND_US,
                            true,
                            report(0.5)));
        }

        @Override
        public void setTimer(String token, long delayUs) {
            super.setTimer(token, delayUs);
            actions.clear();
        }
    }

    private static RecordingHost hostWithUpstreams(int upstreams) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.groupSize(BALANCERS);
        RecordingHost host = new RecordingHost(settings);
        List<Upstream> all = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            all.add(SimulatedHost.endpoint(i, State.READY, 0));
        }
        host.balancer.onEndpointList(host.nowUs, EndpointListKind.COMPLETE, all);
        return host;
    }

    private static void serve(RecordingHost host, int requests) {
        for (int i = 0; i < requests; i++) {
            host.advance(ARRIVAL_INTERVAL_US);
            host.balancer.onRequest(
                    host.nowUs,
                    new Request(
                            "r" + host.arrivedRequests++,
                            0,
                            0,
                            null,
                            0,
                            2 * SimulatedHost.SECOND_US,
                            false,
                            false));
            while (host.outstanding.size() > IN_FLIGHT) {
                host.balancer.onAttemptEnd(host.nowUs, host.outstanding.poll());
            }
        }
    }

    @Test
    void decisionTimeAndHeapByUpstreams() {
        CapacityMeasurements requestTime =
                new CapacityMeasurements("module, a request with its outcome", "us");
        CapacityMeasurements heap = new CapacityMeasurements("module, heap", "KB");
        CapacityMeasurements listChangeTime =
                new CapacityMeasurements("module, a change of one entry", "us");
        serve(hostWithUpstreams(UPSTREAM_COUNTS[0]), WARM_UP_REQUESTS); // loads classes
        for (int upstreams : UPSTREAM_COUNTS) {
            heap.add(
                    upstreams,
                    CapacityMeasurements.retainedHeapBytes(() -> hostWithUpstreams(upstreams))
                            / 1_024.0);
            RecordingHost host = hostWithUpstreams(upstreams);
            serve(host, WARM_UP_REQUESTS);
            long startedNs = System.nanoTime();
            serve(host, MEASURED_REQUESTS);
            requestTime.add(upstreams, (System.nanoTime() - startedNs) / 1e3 / MEASURED_REQUESTS);
            int changes = 200;
            startedNs = System.nanoTime();
            for (int i = 0; i < changes; i++) {
                host.changeEndpoint(
                        SimulatedHost.endpoint(
                                i % upstreams, i % 2 == 0 ? State.DRAINING : State.READY, 0));
            }
            listChangeTime.add(upstreams, (System.nanoTime() - startedNs) / 1e3 / changes);
        }
        requestTime.print();
        heap.print();
        listChangeTime.print();
        assertTrue(heap.slope() < 4, "heap per upstream in KB: " + heap.slope());
    }
}
