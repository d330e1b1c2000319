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
 * Measures the time of a decision and the heap per upstream of one of 440 balancers, with 100 to 6,300
 * upstreams.
 */
@Tag("long")
class UtilisationLoadBalancerCapacityTest {
    private static final int[] UPSTREAMS = {100, 400, 1_600, 6_300};
    private static final int BALANCERS = 440;
    private static final int WARM_UP = 20_000;
    private static final int REQUESTS = 20_000;
    private static final int IN_FLIGHT = 32;
    private static final long BETWEEN = 4_000;

    /** Records where requests are sent, and nothing else. */
    private static final class Sent extends SimulatedHost {
        final Deque<AttemptEnd> out = new ArrayDeque<>();

        int requests;

        Sent(SettingsBuilder settings) {
            balancer = new UtilisationLoadBalancer(settings.build(), 1, this);
            balancer.start(nowUs);
        }

        @Override
        public void send(String request, String upstream, long timeout) {
            out.add(
                    new AttemptEnd(
                            request, 0, upstream, Outcome.OK, 20 * MILLI, true, report(0.5)));
        }

        @Override
        public void timer(String token, long delay) {
            super.timer(token, delay);
            actions.clear();
        }
    }

    private static Sent balancer(int upstreams) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.groupSize(BALANCERS);
        Sent sent = new Sent(settings);
        List<Upstream> all = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            all.add(SimulatedHost.endpoint(i, State.READY, 0));
        }
        sent.balancer.upstreams(sent.nowUs, ListKind.COMPLETE, all);
        return sent;
    }

    private static void serve(Sent h, int requests) {
        for (int i = 0; i < requests; i++) {
            h.advance(BETWEEN);
            h.balancer.request(
                    h.nowUs,
                    new Request(
                            "r" + h.requests++,
                            0,
                            0,
                            null,
                            0,
                            2 * SimulatedHost.SECOND,
                            false,
                            false));
            while (h.out.size() > IN_FLIGHT) {
                h.balancer.outcome(h.nowUs, h.out.poll());
            }
        }
    }

    @Test
    void decisionsAndUpstreams() {
        CapacityFigures time = new CapacityFigures("module, a request with its outcome", "us");
        CapacityFigures heap = new CapacityFigures("module, heap", "KB");
        CapacityFigures list = new CapacityFigures("module, a change of one entry", "us");
        serve(balancer(UPSTREAMS[0]), WARM_UP); // loads the classes
        for (int upstreams : UPSTREAMS) {
            heap.add(upstreams, CapacityFigures.held(() -> balancer(upstreams)) / 1_024.0);
            Sent h = balancer(upstreams);
            serve(h, WARM_UP);
            long begun = System.nanoTime();
            serve(h, REQUESTS);
            time.add(upstreams, (System.nanoTime() - begun) / 1e3 / REQUESTS);
            int changes = 200;
            begun = System.nanoTime();
            for (int i = 0; i < changes; i++) {
                h.changeEndpoint(
                        SimulatedHost.endpoint(
                                i % upstreams, i % 2 == 0 ? State.DRAINING : State.READY, 0));
            }
            list.add(upstreams, (System.nanoTime() - begun) / 1e3 / changes);
        }
        time.print();
        heap.print();
        list.print();
        assertTrue(heap.slope() < 4, "heap per upstream in KB: " + heap.slope());
    }
}
