package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Requests with the same key go to the same upstream where that saves work. */
class KeyAffinityTest {
    private static final long SECOND = SimulatedHost.SECOND;
    private static final long MILLI = SimulatedHost.MILLI;
    private final SettingsBuilder settings = new SettingsBuilder();

    @Test
    void keyKeepsOneUpstreamWhereAffinityIsEnabled() {
        for (boolean warm : new boolean[] {false, true}) {
            settings.warmKeys(warm);
            SimulatedHost host = SimulatedHost.of(settings).listUpstreams(6);
            for (int i = 0; i < 200; i++) {
                String id = host.request(0, 2 * SECOND, "key", 20 * MILLI);
                host.advance(20 * MILLI);
                host.endAttempt(id, Outcome.OK, 20 * MILLI, null);
            }
            int most = host.sendsPerUpstream.values().stream().max(Integer::compare).orElse(0);
            assertEquals(warm, most > 150, host.sendsPerUpstream.toString());
        }
    }

    /**
     * Guards against losing affinity in large fleets: with 60 upstreams, the one of the key competed
     * with dozens of others, and keys were served everywhere without a warm cache.
     */
    @Test
    void keyKeepsItsUpstreamInLargeFleet() {
        settings.warmKeys(true);
        settings.groupSize(14);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(60);
        for (int i = 0; i < 400; i++) {
            String id = host.request(0, 2 * SECOND, "key", 20 * MILLI);
            host.advance(20 * MILLI);
            host.endAttempt(id, Outcome.OK, 20 * MILLI, null);
        }
        int most = host.sendsPerUpstream.values().stream().max(Integer::compare).orElse(0);
        assertTrue(most > 240, most + " of 400 requests at the upstream of the key");
    }

    @Test
    void withScarceRoomQueuedKeysGoToTheirUpstreamUnlessLate() {
        settings.warmKeys(true);
        for (int late = 0; late < 2; late++) {
            SimulatedHost host = SimulatedHost.of(settings).listUpstreams(4);
            Map<String, String> homes = new HashMap<>();
            for (int i = 0; i < 40; i++) {
                String id = host.request(0, 2 * SECOND, "key" + i, 20 * MILLI);
                homes.put("key" + i, host.lastUpstream(id));
                host.advance(20 * MILLI);
                host.endAttempt(id, Outcome.OK, 20 * MILLI, null);
            }
            host.advance(SECOND);
            List<String> out = new ArrayList<>();
            Map<String, String> waiting = new LinkedHashMap<>();
            for (int i = 0; i < 120; i++) {
                String id =
                        host.request(
                                0, 2 * SECOND, "key" + i % 40, late == 0 ? 20 * MILLI : SECOND);
                if (host.lastUpstream(id) == null) {
                    waiting.put(id, homes.get("key" + i % 40));
                } else {
                    out.add(id);
                }
            }
            host.advance(20 * MILLI);
            out.forEach(id -> host.endAttempt(id, Outcome.OK, 20 * MILLI, null));
            waiting.keySet().removeIf(id -> host.lastUpstream(id) == null);
            long home =
                    waiting.entrySet().stream()
                            .filter(w -> w.getValue().equals(host.lastUpstream(w.getKey())))
                            .count();
            assertTrue(waiting.size() > 8, "sent " + waiting.size());
            assertEquals(late == 0, home > 0.75 * waiting.size(), home + " of " + waiting.size());
        }
    }

    @Test
    void upstreamsOfKeysAreMostlyInOwnZoneWhereCrossingHasPrice() {
        int[] own = new int[2];
        settings.warmKeys(true);
        for (int priced = 0; priced < 2; priced++) {
            settings.crossZonePrice(priced * 0.0001);
            SimulatedHost host = SimulatedHost.of(settings).listUpstreams(6);
            for (int i = 0; i < 300; i++) {
                String id = host.request(0, 2 * SECOND, "key" + i % 50, 20 * MILLI);
                host.advance(20 * MILLI);
                host.endAttempt(id, Outcome.OK, 20 * MILLI, null);
            }
            own[priced] = host.sendsTo("u0") + host.sendsTo("u3");
        }
        assertTrue(own[1] > own[0] + 50, own[0] + " " + own[1]);
    }
}
