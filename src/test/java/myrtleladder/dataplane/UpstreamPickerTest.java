package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.Service;
import myrtleladder.protocol.CachedPrompt;
import myrtleladder.protocol.FleetLoads;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import myrtleladder.protocol.UpstreamLoad;
import org.junit.jupiter.api.Test;

/** Picks for model services by the loads and cached prefixes of all balancers. */
class UpstreamPickerTest {
    private static final long NOW_MS = 50_000;
    private static final int UPSTREAMS = 10;
    private static final Configuration CONFIGURATION =
            DataPlaneContext.configuration(
                    "{'generation':1,'services':[{'name':'m','engine':"
                            + "{'capacity':64,'kv_tokens':500000,'stride':3}}]}");

    /** A balancer with ten upstreams and the loads and prefixes it received. */
    private static final class Balancer {
        private final UpstreamDirectory directory = DataPlaneContext.emptyDirectory();
        private final FleetLoadSync fleetLoads = new FleetLoadSync(directory, 1);
        private final UpstreamPicker picker =
                new UpstreamPicker(
                        directory,
                        new ScriptedConnectionPool(),
                        fleetLoads,
                        new PrefillTimeEstimator(),
                        new WeightsRollout(0));

        Balancer() {
            directory.applyConfiguration(CONFIGURATION);
            List<InstanceRecord> records = new ArrayList<>();
            for (int i = 1; i <= UPSTREAMS; i++) {
                InstanceRecord record =
                        InstanceRecord.of(
                                "i" + i, "m", "10.0.0.1:80", "z", 64, "v", Stage.READY, 1);
                record.ordinal = i;
                records.add(record);
            }
            directory.applyRecords(records, true);
        }

        void receive(FleetLoads response, long nowMs) {
            response.loadsKnown = true;
            response.epoch = 1;
            fleetLoads.applyResponse(fleetLoads.createReport(), response, nowMs);
        }

        Upstream pick(String prompt, long nowMs) {
            Service service = CONFIGURATION.service("m");
            return picker.pick(
                            service,
                            PromptSegments.parse(prompt),
                            Set.of(),
                            InstanceRecord.UNKNOWN_WEIGHTS_VERSION,
                            nowMs)
                    .upstream();
        }
    }

    private static FleetLoads withCachedPrompt(String prompt, Upstream upstream) {
        FleetLoads response = new FleetLoads();
        response.cachedPrompts.add(
                CachedPrompt.of(PromptSegments.parse(prompt).sharedPrefixHash(), upstream.key()));
        return response;
    }

    private static FleetLoads withLoad(Upstream upstream, int tokens) {
        FleetLoads response = new FleetLoads();
        response.loads.add(UpstreamLoad.of(upstream.key(), 3, tokens));
        return response;
    }

    private static Upstream sameUpstreamAt(Balancer balancer, Upstream upstream) {
        return balancer.directory.available("m").stream()
                .filter(u -> u.key() == upstream.key())
                .findFirst()
                .orElseThrow();
    }

    private static Upstream otherUpstream(Balancer balancer, Upstream upstream) {
        return balancer.directory.available("m").stream()
                .filter(u -> u != upstream)
                .findFirst()
                .get();
    }

    @Test
    void promptGoesToTheUpstreamWhereAnotherBalancerCachedItsPrefix() {
        Balancer balancer = new Balancer();
        Upstream affinityUpstream = new Balancer().pick("a:9000,x:100", NOW_MS);
        Upstream cachingUpstream =
                otherUpstream(balancer, sameUpstreamAt(balancer, affinityUpstream));
        balancer.receive(withCachedPrompt("a:9000,x:100", cachingUpstream), NOW_MS);
        assertEquals(cachingUpstream, balancer.pick("a:9000,y:100", NOW_MS));
    }

    @Test
    void allBalancersSpreadNewPrefixesOverTheUpstreamsInTheSameWay() {
        Balancer one = new Balancer();
        Balancer two = new Balancer();
        one.receive(new FleetLoads(), NOW_MS);
        two.receive(new FleetLoads(), NOW_MS);
        Set<Integer> pickedKeys = new HashSet<>();
        for (int prefix = 0; prefix < 60; prefix++) {
            String prompt = prefix + ":9000,x:100";
            int key = one.pick(prompt, NOW_MS).key();
            assertEquals(key, two.pick(prompt, NOW_MS).key());
            pickedKeys.add(key);
        }
        assertTrue(pickedKeys.size() >= UPSTREAMS - 1, "upstreams picked: " + pickedKeys.size());
    }

    @Test
    void newPrefixAvoidsItsAffinityUpstreamIfPeersHaveALargeBacklogThere() {
        Balancer balancer = new Balancer();
        balancer.receive(new FleetLoads(), NOW_MS);
        Upstream affinityUpstream = balancer.pick("a:9000,x:100", NOW_MS);
        balancer.receive(withLoad(affinityUpstream, 30_000), NOW_MS);
        assertNotEquals(affinityUpstream, balancer.pick("a:9000,x:100", NOW_MS));
    }

    @Test
    void cachedPrefixIsPreferredUntilTheWaitExceedsTheCostOfACacheMiss() {
        Balancer balancer = new Balancer();
        Upstream cachingUpstream = balancer.directory.available("m").get(0);
        balancer.receive(withCachedPrompt("a:9000,x:100", cachingUpstream), NOW_MS);
        balancer.receive(withLoad(cachingUpstream, 20_000), NOW_MS);
        assertEquals(cachingUpstream, balancer.pick("a:9000,x:100", NOW_MS));
        balancer.receive(withLoad(cachingUpstream, 60_000), NOW_MS);
        assertNotEquals(cachingUpstream, balancer.pick("a:9000,x:100", NOW_MS));
    }

    @Test
    void shortCachedPrefixDoesNotOutweighABacklog() {
        Balancer balancer = new Balancer();
        Upstream cachingUpstream = balancer.directory.available("m").get(0);
        balancer.receive(withCachedPrompt("a:350,x:1100", cachingUpstream), NOW_MS);
        balancer.receive(withLoad(cachingUpstream, 5_000), NOW_MS);
        assertNotEquals(cachingUpstream, balancer.pick("a:350,x:1100", NOW_MS));
    }

    @Test
    void staleLoadsAreIgnored() {
        Balancer balancer = new Balancer();
        Upstream affinityUpstream = balancer.pick("a:9000,x:100", NOW_MS);
        balancer.receive(withLoad(affinityUpstream, 60_000), NOW_MS);
        long laterMs = NOW_MS + FleetLoadSync.MAX_LOAD_AGE_MS + 1;
        assertEquals(affinityUpstream, balancer.pick("a:9000,x:100", laterMs));
    }

    @Test
    void cachedPrefixIsPreferredWithoutAPrimary() {
        Balancer balancer = new Balancer();
        Upstream affinityUpstream = balancer.pick("a:9000,x:100", NOW_MS);
        Upstream cachingUpstream = otherUpstream(balancer, affinityUpstream);
        balancer.receive(withCachedPrompt("a:9000,x:100", cachingUpstream), NOW_MS);
        long laterMs = NOW_MS + FleetLoadSync.MAX_LOAD_AGE_MS + 1;
        cachingUpstream.recordExtraDelay(300, laterMs); // more than affinity is assumed to save
        assertEquals(cachingUpstream, balancer.pick("a:9000,y:100", laterMs));
    }

    @Test
    void affinityUpstreamIsTheSameWithAndWithoutFleetLoads() {
        Balancer withoutLoads = new Balancer();
        Balancer withLoads = new Balancer();
        withLoads.receive(new FleetLoads(), NOW_MS);
        for (int prefix = 0; prefix < 20; prefix++) {
            String prompt = prefix + ":9000,x:100";
            assertEquals(
                    withoutLoads.pick(prompt, NOW_MS).key(), withLoads.pick(prompt, NOW_MS).key());
        }
    }

    @Test
    void loadsAndPrefixesOfUnknownUpstreamsAreIgnored() {
        Balancer balancer = new Balancer();
        balancer.receive(new FleetLoads(), NOW_MS);
        Upstream affinityUpstream = balancer.pick("a:9000,x:100", NOW_MS);
        FleetLoads response = new FleetLoads();
        response.cachedPrompts.add(
                CachedPrompt.of(PromptSegments.parse("a:9000,x:100").sharedPrefixHash(), 1));
        response.loads.add(UpstreamLoad.of(1, 50, 500_000));
        balancer.receive(response, NOW_MS);
        assertEquals(affinityUpstream, balancer.pick("a:9000,x:100", NOW_MS));
    }

    @Test
    void estimatedLoadMatchesTheNextPick() {
        Balancer balancer = new Balancer();
        balancer.receive(new FleetLoads(), NOW_MS);
        PromptSegments prompt = PromptSegments.parse("a:9000,x:100");
        UpstreamLoad estimated =
                balancer.picker.estimateLoad(CONFIGURATION.service("m"), prompt, NOW_MS);
        assertEquals(9_100, estimated.pendingPromptTokens);
        assertEquals(estimated.upstreamKey, balancer.pick("a:9000,x:100", NOW_MS).key());
    }
}
