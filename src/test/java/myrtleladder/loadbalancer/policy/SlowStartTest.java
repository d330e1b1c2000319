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
    private static final long SECOND = SimulatedHost.SECOND;
    private static final long MILLI = SimulatedHost.MILLI;
    private final SettingsBuilder settings = new SettingsBuilder();

    /** Balancers that share a cold upstream. */
    private static final int COLD_GROUP = 14;

    @Test
    void coldUpstreamGetsSomeWorkButLittle() {
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        for (int i = 0; i < 500; i++) {
            host.serve(0, 10 * MILLI, upstream -> 0.6);
        }
        host.changeEndpoint(SimulatedHost.endpoint(0, State.READY, host.nowUs - MILLI));
        host.sendsPerUpstream.clear();
        for (int i = 0; i < 1_000; i++) {
            host.serve(0, 10 * MILLI, upstream -> 0.6);
        }
        assertTrue(
                host.sendsTo("u0") > 0 && host.sendsTo("u0") < 120,
                host.sendsPerUpstream.toString());
    }

    /** Sends one request, and 20 ms later answers all outstanding requests. */
    private static void requestAndServeAll(
            SimulatedHost host, double utilisationOfFirst, double ofOthers) {
        host.request(0, 2 * SECOND);
        host.advance(20 * MILLI);
        for (String id : List.copyOf(host.sends.keySet())) {
            host.endAttempt(
                    id,
                    Outcome.OK,
                    20 * MILLI,
                    SimulatedHost.report(
                            host.lastUpstream(id).equals("u0") ? utilisationOfFirst : ofOthers));
            host.sends.remove(id);
        }
    }

    /**
     * The requests that 14 balancers send to a newly launched upstream in each second. The balancers
     * have been running for some seconds, and each of them serves 50 requests of equal work per
     * second on two warm upstreams. The budget of the new upstream begins at 3 times 0.2 of what a
     * warm one serves.
     */
    private static List<Integer> sentToColdUpstream(
            SettingsBuilder settings, int before, int seconds) {
        settings.groupSize(COLD_GROUP);
        List<SimulatedHost> balancers = new ArrayList<>();
        for (int position = 0; position < COLD_GROUP; position++) {
            settings.position(position);
            SimulatedHost host = SimulatedHost.of(settings, position);
            host.listUpstreams(3);
            balancers.add(host);
            host.changeEndpoint(SimulatedHost.endpoint(0, State.GONE, 0));
            for (int i = 0; i < 50 * before; i++) {
                requestAndServeAll(host, 0.8, 0.8);
            }
            host.changeEndpoint(SimulatedHost.endpoint(0, State.READY, host.nowUs));
        }
        List<Integer> sent = new ArrayList<>();
        for (int s = 0; s < seconds; s++) {
            int so = balancers.stream().mapToInt(host -> host.sendsTo("u0")).sum();
            for (SimulatedHost host : balancers) {
                for (int i = 0; i < 50; i++) {
                    requestAndServeAll(host, 0.1, 0.8);
                }
            }
            sent.add(balancers.stream().mapToInt(host -> host.sendsTo("u0")).sum() - so);
        }
        return sent;
    }

    /**
     * Guards against budgets that are too small: 36 new upstreams stayed at a utilisation of 0.1,
     * while 24 others were at 0.9.
     */
    @ParameterizedTest(name = "balancers up for {0} s")
    @ValueSource(ints = {1, 10})
    void coldUpstreamIsUsedByManyBalancersAndNotOverloaded(int before) {
        List<Integer> sent = sentToColdUpstream(settings, before, 10);
        int warm = 14 * 50 / 2;
        for (int s = 0; s < sent.size(); s++) {
            double capacity = warm * (0.2 + 0.8 * s / 20);
            assertTrue(sent.get(s) < 3 * capacity, sent.toString());
            assertTrue(s < 6 || sent.get(s) > capacity, sent.toString());
        }
    }

    /**
     * The rule allows for random variation: N + 2 sqrt(N) + 2 calls of all balancers together in each
     * window of the configured length, where N is the budget at the beginning of the window.
     */
    @ParameterizedTest(name = "{0} balancers, {1} a second each")
    @CsvSource({"20, 10", "20, 50", "30, 5", "30, 20"})
    void rampOfColdUpstreamHoldsForAllBalancersTogether(int group, int each) {
        settings.groupSize(group);
        List<SimulatedHost> balancers = new ArrayList<>();
        for (int position = 0; position < group; position++) {
            settings.position(position);
            SimulatedHost host = SimulatedHost.of(settings, position);
            host.listUpstreams(3);
            balancers.add(host);
            host.changeEndpoint(SimulatedHost.endpoint(0, State.GONE, 0));
            for (int i = 0; i < 10 * each; i++) {
                requestAndServeAll(host, 0.8, 0.8);
                host.advance(SECOND / each - 20 * MILLI);
            }
            host.changeEndpoint(SimulatedHost.endpoint(0, State.READY, host.nowUs));
        }
        int[] sentByTenth = new int[100];
        for (SimulatedHost host : balancers) {
            int sentSoFar = host.sendsTo("u0");
            for (int i = 0; i < 10 * each; i++) {
                requestAndServeAll(host, 0.1, 0.8);
                host.advance(SECOND / each - 20 * MILLI);
                int sentNow = host.sendsTo("u0");
                sentByTenth[i * 10 / each] += sentNow - sentSoFar;
                sentSoFar = sentNow;
            }
        }
        double warm = group * each / 2.0;
        for (int from = 0; from + 10 <= sentByTenth.length; from++) {
            int inWindow = Arrays.stream(sentByTenth, from, from + 10).sum();
            double n = 3 * warm * (0.2 + 0.8 * from / 200);
            assertTrue(
                    inWindow <= n + 2 * Math.sqrt(n) + 2, inWindow + " of " + n + " from " + from);
        }
        int sent = Arrays.stream(sentByTenth).sum();
        assertTrue(sent > warm / 4, sent + " sent; a warm upstream serves " + warm + " per second");
    }

    /**
     * Guards against smoothing the rate of completed work from zero: cold upstreams then got nothing
     * for seconds after a restart of the balancer.
     */
    @Test
    void restartedBalancerSoonUsesColdUpstreams() {
        settings.groupSize(14);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(22);
        for (int i = 0; i < 100; i++) {
            host.serve(0, 20 * MILLI, upstream -> 0.8);
        }
        host.sendsPerUpstream.clear();
        for (int i = 0; i < 20; i++) {
            host.changeEndpoint(SimulatedHost.endpoint(i, State.READY, host.nowUs));
        }
        for (int i = 20; i < 22; i++) {
            host.changeEndpoint(SimulatedHost.endpoint(i, State.GONE, 0));
        }
        for (int i = 0; i < 100; i++) {
            String id = host.request(0, 2 * SECOND);
            host.advance(20 * MILLI);
            if (host.lastUpstream(id) != null) {
                host.endAttempt(id, Outcome.OK, 20 * MILLI, SimulatedHost.report(0.1));
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
            host.serve(0, 10 * MILLI, upstream -> 0.6);
        }
        for (int i = 0; i < 3; i++) {
            host.changeEndpoint(SimulatedHost.endpoint(i, State.READY, host.nowUs));
        }
        host.advance(SECOND);
        String dear = host.request(0, 2 * SECOND, null, 200 * MILLI);
        host.advance(SECOND / 5);
        assertNotEquals(null, host.lastUpstream(dear));
    }

    /**
     * Guards against charging only the work hint of a request: requests with small hints passed the
     * token bucket, and their true work overloaded the upstream (incident i618e92).
     */
    @Test
    void coldUpstreamIsChargedMeanRequestForEachSmallHint() {
        int[] sent = new int[2];
        for (int small = 0; small < 2; small++) {
            SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
            for (int i = 0; i < 500; i++) {
                host.serve(0, 10 * MILLI, upstream -> 0.6);
            }
            host.changeEndpoint(SimulatedHost.endpoint(0, State.READY, host.nowUs - MILLI));
            host.changeEndpoint(SimulatedHost.endpoint(1, State.GONE, 0));
            host.changeEndpoint(SimulatedHost.endpoint(2, State.GONE, 0));
            host.sends.clear();
            Set<String> ended = new HashSet<>();
            for (int i = 0; i < 60; i++) {
                host.request(0, 2 * SECOND, null, small == 0 ? 20 * MILLI : 2 * MILLI);
                host.advance(20 * MILLI);
                for (String id : List.copyOf(host.sends.keySet())) {
                    if (host.lastUpstream(id).equals("u0") && ended.add(id)) {
                        host.endAttempt(id, Outcome.OK, 10 * MILLI, SimulatedHost.report(0.6));
                    }
                }
            }
            sent[small] = ended.size();
        }
        assertTrue(sent[0] > 0 && sent[1] > 0 && sent[1] <= 2 * sent[0], sent[0] + " " + sent[1]);
    }

    @Test
    void requestsAreAnsweredInTimeWhenAllUpstreamsAreCold() {
        SimulatedHost host = SimulatedHost.of(settings);
        host.balancer.upstreams(
                host.nowUs,
                ListKind.RESTORED,
                List.of(SimulatedHost.endpoint(0, State.READY, host.nowUs - MILLI)));
        for (int i = 0; i < 20; i++) {
            host.request(0, SECOND);
        }
        host.advance(2 * SECOND);
        int sent = host.sends.size();
        assertTrue(sent < 20);
        assertEquals(
                20, host.rejected.size(), "the upstream answers none, so all must be rejected");
    }
}
