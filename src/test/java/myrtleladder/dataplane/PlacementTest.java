package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.Json;
import myrtleladder.configuration.Service;
import myrtleladder.protocol.CachedPrompt;
import myrtleladder.protocol.FleetLoads;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import myrtleladder.protocol.UpstreamLoad;
import org.junit.jupiter.api.Test;

/** Which upstream a prompt goes to, by what is known of the other balancers. */
class PlacementTest {
    private static final long NOW = 50_000;
    private static final int UPSTREAMS = 10;
    private static final Configuration CONFIGURATION =
            Configuration.read(
                    Json.readObject(
                            ("{\"generation\":1,\"services\":[{\"name\":\"m\",\"engine\":"
                                            + "{\"capacity\":64,\"kv_tokens\":500000,"
                                            + "\"stride\":3}}]}")
                                    .getBytes(StandardCharsets.UTF_8)));

    /** One balancer's view. */
    private static final class View {
        private final UpstreamDirectory directory = new UpstreamDirectory(u -> {});
        private final FleetKnowledge fleet = new FleetKnowledge(directory, 1);
        private final Placement placement = new Placement(directory, new ScriptedLinks(), fleet);

        View() {
            directory.use(CONFIGURATION);
            List<InstanceRecord> records = new ArrayList<>();
            for (int i = 1; i <= UPSTREAMS; i++) {
                InstanceRecord record =
                        InstanceRecord.of(
                                "i" + i, "m", "10.0.0.1:80", "z", 64, "v", Stage.READY, 1);
                record.ordinal = i;
                records.add(record);
            }
            directory.take(records, true);
        }

        void tell(FleetLoads answer, long now) {
            answer.loadsKnown = true;
            answer.epoch = 1;
            fleet.take(fleet.report(), answer, now);
        }

        Upstream pick(String prompt, long now) {
            Service service = CONFIGURATION.service("m");
            return placement.pick(service, PromptParts.parse(prompt), Set.of(), now).upstream();
        }
    }

    private static FleetLoads keeps(String prompt, Upstream upstream) {
        FleetLoads answer = new FleetLoads();
        answer.cachedPrompts.add(
                CachedPrompt.of(PromptParts.parse(prompt).subject(), upstream.key()));
        return answer;
    }

    private static FleetLoads busy(Upstream upstream, int tokens) {
        FleetLoads answer = new FleetLoads();
        answer.loads.add(UpstreamLoad.of(upstream.key(), 3, tokens));
        return answer;
    }

    private static Upstream sameAt(View view, Upstream upstream) {
        return view.directory.ready("m").stream()
                .filter(u -> u.key() == upstream.key())
                .findFirst()
                .orElseThrow();
    }

    private static Upstream other(View view, Upstream upstream) {
        return view.directory.ready("m").stream().filter(u -> u != upstream).findFirst().get();
    }

    @Test
    void aSubjectGoesWhereAnotherBalancerSentIt() {
        View view = new View();
        Upstream home = new View().pick("a:9000,x:100", NOW);
        Upstream keeper = other(view, sameAt(view, home));
        view.tell(keeps("a:9000,x:100", keeper), NOW);
        assertEquals(keeper, view.pick("a:9000,y:100", NOW));
    }

    @Test
    void aNewSubjectGoesToTheSamePlaceAtAllBalancersAndManySpread() {
        View one = new View();
        View two = new View();
        one.tell(new FleetLoads(), NOW);
        two.tell(new FleetLoads(), NOW);
        Set<Integer> used = new HashSet<>();
        for (int subject = 0; subject < 60; subject++) {
            String prompt = subject + ":9000,x:100";
            int key = one.pick(prompt, NOW).key();
            assertEquals(key, two.pick(prompt, NOW).key());
            used.add(key);
        }
        assertTrue(used.size() >= UPSTREAMS - 1, "subjects at " + used.size());
    }

    @Test
    void aNewSubjectAvoidsAHomeWhereOthersHaveMuchUnread() {
        View view = new View();
        view.tell(new FleetLoads(), NOW);
        Upstream home = view.pick("a:9000,x:100", NOW);
        view.tell(busy(home, 30_000), NOW);
        assertNotEquals(home, view.pick("a:9000,x:100", NOW));
    }

    @Test
    void aKeptSubjectStaysUntilTheWaitExceedsWhatReadingItAnewCosts() {
        View view = new View();
        Upstream keeper = view.directory.ready("m").get(0);
        view.tell(keeps("a:9000,x:100", keeper), NOW);
        view.tell(busy(keeper, 20_000), NOW);
        assertEquals(keeper, view.pick("a:9000,x:100", NOW));
        view.tell(busy(keeper, 60_000), NOW);
        assertNotEquals(keeper, view.pick("a:9000,x:100", NOW));
    }

    @Test
    void aShortSharedPartIsNoReasonToWait() {
        View view = new View();
        Upstream keeper = view.directory.ready("m").get(0);
        view.tell(keeps("a:350,x:1100", keeper), NOW);
        view.tell(busy(keeper, 5_000), NOW);
        assertNotEquals(keeper, view.pick("a:350,x:1100", NOW));
    }

    @Test
    void oldLoadsMoveNothing() {
        View view = new View();
        Upstream home = view.pick("a:9000,x:100", NOW);
        view.tell(busy(home, 60_000), NOW);
        long later = NOW + FleetKnowledge.FRESH + 1;
        assertEquals(home, view.pick("a:9000,x:100", later));
    }

    @Test
    void aSubjectStaysWhereItIsKeptWhileNoPrimaryTellsAnything() {
        View view = new View();
        Upstream home = view.pick("a:9000,x:100", NOW);
        Upstream keeper = other(view, home);
        view.tell(keeps("a:9000,x:100", keeper), NOW);
        long later = NOW + FleetKnowledge.FRESH + 1;
        keeper.delayed(300, later); // one late answer, and more than a home is thought to save
        assertEquals(keeper, view.pick("a:9000,y:100", later));
    }

    @Test
    void outOfTouchAndInTouchASubjectHasTheSameHome() {
        View alone = new View();
        View inTouch = new View();
        inTouch.tell(new FleetLoads(), NOW);
        for (int subject = 0; subject < 20; subject++) {
            String prompt = subject + ":9000,x:100";
            assertEquals(alone.pick(prompt, NOW).key(), inTouch.pick(prompt, NOW).key());
        }
    }

    @Test
    void whatIsToldOfAnUpstreamThatIsGoneMovesNothing() {
        View view = new View();
        view.tell(new FleetLoads(), NOW);
        Upstream home = view.pick("a:9000,x:100", NOW);
        FleetLoads answer = new FleetLoads();
        answer.cachedPrompts.add(CachedPrompt.of(PromptParts.parse("a:9000,x:100").subject(), 1));
        answer.loads.add(UpstreamLoad.of(1, 50, 500_000));
        view.tell(answer, NOW);
        assertEquals(home, view.pick("a:9000,x:100", NOW));
    }

    @Test
    void theLikelyPlaceIsThePickAndPicksNothing() {
        View view = new View();
        view.tell(new FleetLoads(), NOW);
        PromptParts prompt = PromptParts.parse("a:9000,x:100");
        UpstreamLoad likely = view.placement.likely(CONFIGURATION.service("m"), prompt, NOW);
        assertEquals(9_100, likely.pendingPromptTokens);
        assertEquals(likely.upstreamKey, view.pick("a:9000,x:100", NOW).key());
    }
}
