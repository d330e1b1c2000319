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
    private static final long SECOND_US = SimulatedHost.SECOND_US;
    private static final long MILLISECOND_US = SimulatedHost.MILLISECOND_US;
    private final SettingsBuilder settings = new SettingsBuilder();

    @Test
    void keyKeepsOneUpstreamWhereAffinityIsEnabled() {
        for (boolean isEnabled : new boolean[] {false, true}) {
            settings.keyAffinity(isEnabled);
            SimulatedHost host = SimulatedHost.of(settings).listUpstreams(6);
            for (int i = 0; i < 200; i++) {
                String id = host.request(0, 2 * SECOND_US, "key", 20 * MILLISECOND_US);
                host.advance(20 * MILLISECOND_US);
                host.endAttempt(id, Outcome.OK, 20 * MILLISECOND_US, null);
            }
            int maxSends = host.sendsPerUpstream.values().stream().max(Integer::compare).orElse(0);
            assertEquals(isEnabled, maxSends > 150, host.sendsPerUpstream.toString());
        }
    }

    /**
     * Guards against losing affinity in large fleets: with 60 upstreams, the one of the key
     * competed with dozens of others, and keys were served everywhere without a warm cache.
     */
    @Test
    void keyKeepsItsUpstreamInLargeFleet() {
        settings.keyAffinity(true);
        settings.groupSize(14);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(60);
        for (int i = 0; i < 400; i++) {
            String id = host.request(0, 2 * SECOND_US, "key", 20 * MILLISECOND_US);
            host.advance(20 * MILLISECOND_US);
            host.endAttempt(id, Outcome.OK, 20 * MILLISECOND_US, null);
        }
        int maxSends = host.sendsPerUpstream.values().stream().max(Integer::compare).orElse(0);
        assertTrue(maxSends > 240, maxSends + " of 400 requests at the upstream of the key");
    }

    @Test
    void withScarceCapacityQueuedKeysGoToTheirUpstreamUnlessLate() {
        settings.keyAffinity(true);
        for (int late = 0; late < 2; late++) {
            SimulatedHost host = SimulatedHost.of(settings).listUpstreams(4);
            Map<String, String> upstreamsOfKeys = new HashMap<>();
            for (int i = 0; i < 40; i++) {
                String id = host.request(0, 2 * SECOND_US, "key" + i, 20 * MILLISECOND_US);
                upstreamsOfKeys.put("key" + i, host.lastUpstream(id));
                host.advance(20 * MILLISECOND_US);
                host.endAttempt(id, Outcome.OK, 20 * MILLISECOND_US, null);
            }
            host.advance(SECOND_US);
            List<String> sent = new ArrayList<>();
            Map<String, String> queued = new LinkedHashMap<>();
            for (int i = 0; i < 120; i++) {
                String id =
                        host.request(
                                0,
                                2 * SECOND_US,
                                "key" + i % 40,
                                late == 0 ? 20 * MILLISECOND_US : SECOND_US);
                if (host.lastUpstream(id) == null) {
                    queued.put(id, upstreamsOfKeys.get("key" + i % 40));
                } else {
                    sent.add(id);
                }
            }
            host.advance(20 * MILLISECOND_US);
            sent.forEach(id -> host.endAttempt(id, Outcome.OK, 20 * MILLISECOND_US, null));
            queued.keySet().removeIf(id -> host.lastUpstream(id) == null);
            long sentToUpstreamOfKey =
                    queued.entrySet().stream()
                            .filter(
                                    entry ->
                                            entry.getValue()
                                                    .equals(host.lastUpstream(entry.getKey())))
                            .count();
            assertTrue(queued.size() > 8, "sent " + queued.size());
            assertEquals(
                    late == 0,
                    sentToUpstreamOfKey > 0.75 * queued.size(),
                    sentToUpstreamOfKey + " of " + queued.size());
        }
    }

    @Test
    void upstreamsOfKeysAreMostlyInOwnZoneWhereCrossingZonesCosts() {
        int[] sendsToOwnZone = new int[2];
        settings.keyAffinity(true);
        for (int priced = 0; priced < 2; priced++) {
            settings.crossZonePrice(priced * 0.0001);
            SimulatedHost host = SimulatedHost.of(settings).listUpstreams(6);
            for (int i = 0; i < 300; i++) {
                String id = host.request(0, 2 * SECOND_US, "key" + i % 50, 20 * MILLISECOND_US);
                host.advance(20 * MILLISECOND_US);
                host.endAttempt(id, Outcome.OK, 20 * MILLISECOND_US, null);
            }
            sendsToOwnZone[priced] = host.sendsTo("u0") + host.sendsTo("u3");
        }
        assertTrue(
                sendsToOwnZone[1] > sendsToOwnZone[0] + 50,
                sendsToOwnZone[0] + " " + sendsToOwnZone[1]);
    }
}
