package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import myrtleladder.loadbalancer.policy.Upstream.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Cold upstreams get work, but not more than their budget. */
class SlowStartTest {
    private static final long SECOND_US = SimulatedHost.SECOND_US;
    private static final long MILLISECOND_US = SimulatedHost.MILLISECOND_US;
    private final SettingsBuilder settings = new SettingsBuilder();

    /** Balancers that share a cold upstream. */
    private static final int COLD_GROUP = 14;

    @Test
    void coldUpstreamGetsSomeWorkButLittle() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        for (int i = 0; i < 500; i++) {
            host.serve(0, 10 * MILLISECOND_US, upstream -> 0.6);
        }
        host.changeEndpoint(SimulatedHost.endpoint(0, State.READY, host.nowUs - MILLISECOND_US));
        host.sendsPerUpstream.clear();
        for (int i = 0; i < 1_000; i++) {
            host.serve(0, 10 * MILLISECOND_US, upstream -> 0.6);
        }
        assertTrue(
                host.sendsTo("u0") > 0 && host.sendsTo("u0") < 120,
                host.sendsPerUpstream.toString());
    }

    /** Sends one request, and 20 ms later answers all outstanding requests. */
    private static void requestAndServeAll(
            SimulatedHost host, double utilisationOfFirst, double utilisationOfOthers) {
        host.request(0, 2 * SECOND_US);
        host.advance(20 * MILLISECOND_US);
        for (String id : List.copyOf(host.upstreamsByRequest.keySet())) {
            host.endAttempt(
                    id,
                    Outcome.OK,
                    20 * MILLISECOND_US,
                    SimulatedHost.report(
                            host.lastUpstream(id).equals("u0")
                                    ? utilisationOfFirst
                                    : utilisationOfOthers));
            host.upstreamsByRequest.remove(id);
        }
    }

    /**
     * The requests that 14 balancers send to a newly launched upstream in each second. The
     * balancers have been running for some seconds, and each of them serves 50 requests of equal
     * work per second on two warm upstreams. The budget of the new upstream begins at 3 times 0.2
     * of what a warm one serves.
     */
    private static List<Integer> sentToColdUpstream(
            SettingsBuilder settings, int secondsBefore, int seconds) {
        settings.groupSize(COLD_GROUP);
        List<SimulatedHost> balancers = new ArrayList<>();
        for (int position = 0; position < COLD_GROUP; position++) {
            settings.position(position);
            SimulatedHost host = SimulatedHost.of(settings, position);
            host.listUpstreams(3);
            balancers.add(host);
            host.changeEndpoint(SimulatedHost.endpoint(0, State.GONE, 0));
            for (int i = 0; i < 50 * secondsBefore; i++) {
                requestAndServeAll(host, 0.8, 0.8);
            }
            host.changeEndpoint(SimulatedHost.endpoint(0, State.READY, host.nowUs));
        }
        List<Integer> sent = new ArrayList<>();
        for (int second = 0; second < seconds; second++) {
            int sentBefore = balancers.stream().mapToInt(host -> host.sendsTo("u0")).sum();
            for (SimulatedHost host : balancers) {
                for (int i = 0; i < 50; i++) {
                    requestAndServeAll(host, 0.1, 0.8);
                }
            }
            sent.add(balancers.stream().mapToInt(host -> host.sendsTo("u0")).sum() - sentBefore);
        }
        return sent;
    }

    /**
     * Guards against budgets that are too small: 36 new upstreams stayed at a utilisation of 0.1,
     * while 24 others were at 0.9.
     */
    @ParameterizedTest(name = "balancers up for {0} s")
    @ValueSource(ints = {1, 10})
    void coldUpstreamIsUsedByManyBalancersAndNotOverloaded(int secondsBefore) {
        List<Integer> sent = sentToColdUpstream(settings, secondsBefore, 10);
        int warmRequestsPerSecond = 14 * 50 / 2;
        for (int second = 0; second < sent.size(); second++) {
            double capacity = warmRequestsPerSecond * (0.2 + 0.8 * second / 20);
            assertTrue(sent.get(second) < 3 * capacity, sent.toString());
            assertTrue(second < 6 || sent.get(second) > capacity, sent.toString());
        }
    }

    /**
     * The rule allows for random variation: N + 2 sqrt(N) + 2 calls of all balancers together in
     * each window of the configured length, where N is the budget at the beginning of the window.
     */
    @ParameterizedTest(name = "{0} balancers, {1} a second each")
    @CsvSource({"20, 10", "20, 50", "30, 5", "30, 20"})
    void budgetOfColdUpstreamHoldsOverAllBalancers(int groupSize, int requestsPerSecond) {
        settings.groupSize(groupSize);
        List<SimulatedHost> balancers = new ArrayList<>();
        for (int position = 0; position < groupSize; position++) {
            settings.position(position);
            SimulatedHost host = SimulatedHost.of(settings, position);
            host.listUpstreams(3);
            balancers.add(host);
            host.changeEndpoint(SimulatedHost.endpoint(0, State.GONE, 0));
            for (int i = 0; i < 10 * requestsPerSecond; i++) {
                requestAndServeAll(host, 0.8, 0.8);
                host.advance(SECOND_US / requestsPerSecond - 20 * MILLISECOND_US);
            }
            host.changeEndpoint(SimulatedHost.endpoint(0, State.READY, host.nowUs));
        }
        int[] sentByTenth = new int[100];
        for (SimulatedHost host : balancers) {
            int sentSoFar = host.sendsTo("u0");
            for (int i = 0; i < 10 * requestsPerSecond; i++) {
                requestAndServeAll(host, 0.1, 0.8);
                host.advance(SECOND_US / requestsPerSecond - 20 * MILLISECOND_US);
                int sentNow = host.sendsTo("u0");
                sentByTenth[i * 10 / requestsPerSecond] += sentNow - sentSoFar;
                sentSoFar = sentNow;
            }
        }
        double warmRequestsPerSecond = groupSize * requestsPerSecond / 2.0;
        for (int from = 0; from + 10 <= sentByTenth.length; from++) {
            int inWindow = Arrays.stream(sentByTenth, from, from + 10).sum();
            double budget = 3 * warmRequestsPerSecond * (0.2 + 0.8 * from / 200);
            assertTrue(
                    inWindow <= budget + 2 * Math.sqrt(budget) + 2,
                    inWindow + " of " + budget + " from " + from);
        }
        int sent = Arrays.stream(sentByTenth).sum();
        assertTrue(
                sent > warmRequestsPerSecond / 4,
                sent + " sent; a warm upstream serves " + warmRequestsPerSecond + " per second");
    }

    /**
     * Guards against smoothing the rate of completed work from zero: cold upstreams then got
     * nothing for seconds after a restart of the balancer.
     */
    @Test
    void restartedBalancerSoonUsesColdUpstreams() {
        settings.groupSize(14);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(22);
        for (int i = 0; i < 100; i++) {
            host.serve(0, 20 * MILLISECOND_US, upstream -> 0.8);
        }
        host.sendsPerUpstream.clear();
        for (int i = 0; i < 20; i++) {
            host.changeEndpoint(SimulatedHost.endpoint(i, State.READY, host.nowUs));
        }
        for (int i = 20; i < 22; i++) {
            host.changeEndpoint(SimulatedHost.endpoint(i, State.GONE, 0));
        }
        for (int i = 0; i < 100; i++) {
            String id = host.request(0, 2 * SECOND_US);
            host.advance(20 * MILLISECOND_US);
            if (host.lastUpstream(id) != null) {
                host.endAttempt(id, Outcome.OK, 20 * MILLISECOND_US, SimulatedHost.report(0.1));
            }
        }
        int sent = host.sendsPerUpstream.values().stream().mapToInt(count -> count).sum();
        assertTrue(sent > 20, "sent " + sent);
    }

    /**
     * Guards against a budget that never admits a request of more than the mean cost, although such
     * requests tolerate a slow upstream best.
     */
    @Test
    void expensiveRequestMayGoToColdUpstream() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        for (int i = 0; i < 500; i++) {
            host.serve(0, 10 * MILLISECOND_US, upstream -> 0.6);
        }
        for (int i = 0; i < 3; i++) {
            host.changeEndpoint(SimulatedHost.endpoint(i, State.READY, host.nowUs));
        }
        host.advance(SECOND_US);
        String expensive = host.request(0, 2 * SECOND_US, null, 200 * MILLISECOND_US);
        host.advance(SECOND_US / 5);
        assertNotEquals(null, host.lastUpstream(expensive));
    }

    /**
     * Guards against charging only the work hint of a request: requests with small hints passed the
     * token bucket, and their true work overloaded the upstream (incident i618e92).
     */
    @Test
    void coldUpstreamIsChargedMeanRequestForEachSmallHint() {
        int[] sent = new int[2];
        for (int smallHint = 0; smallHint < 2; smallHint++) {
            SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
            for (int i = 0; i < 500; i++) {
                host.serve(0, 10 * MILLISECOND_US, upstream -> 0.6);
            }
            host.changeEndpoint(
                    SimulatedHost.endpoint(0, State.READY, host.nowUs - MILLISECOND_US));
            host.changeEndpoint(SimulatedHost.endpoint(1, State.GONE, 0));
            host.changeEndpoint(SimulatedHost.endpoint(2, State.GONE, 0));
            host.upstreamsByRequest.clear();
            Set<String> ended = new HashSet<>();
            for (int i = 0; i < 60; i++) {
                host.request(
                        0,
                        2 * SECOND_US,
                        null,
                        smallHint == 0 ? 20 * MILLISECOND_US : 2 * MILLISECOND_US);
                host.advance(20 * MILLISECOND_US);
                for (String id : List.copyOf(host.upstreamsByRequest.keySet())) {
                    if (host.lastUpstream(id).equals("u0") && ended.add(id)) {
                        host.endAttempt(
                                id, Outcome.OK, 10 * MILLISECOND_US, SimulatedHost.report(0.6));
                    }
                }
            }
            sent[smallHint] = ended.size();
        }
        assertTrue(sent[0] > 0 && sent[1] > 0 && sent[1] <= 2 * sent[0], sent[0] + " " + sent[1]);
    }

    @Test
    void requestsAreAnsweredInTimeWhenAllUpstreamsAreCold() {
        SimulatedHost host = SimulatedHost.of(settings);
        host.balancer.onEndpointList(
                host.nowUs,
                EndpointListKind.RESTORED,
                List.of(SimulatedHost.endpoint(0, State.READY, host.nowUs - MILLISECOND_US)));
        for (int i = 0; i < 20; i++) {
            host.request(0, SECOND_US);
        }
        host.advance(2 * SECOND_US);
        int sent = host.upstreamsByRequest.size();
        assertTrue(sent < 20);
        assertEquals(
                20, host.rejected.size(), "the upstream answers none, so all must be rejected");
    }
}
