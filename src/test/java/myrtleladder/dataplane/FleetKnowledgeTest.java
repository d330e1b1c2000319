package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import myrtleladder.protocol.CachedPrompt;
import myrtleladder.protocol.FleetLoads;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import myrtleladder.protocol.LoadReport;
import myrtleladder.protocol.UpstreamLoad;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a balancer tells the others and takes from them. */
class FleetKnowledgeTest {
    private static final long NOW = 50_000;
    private static final PromptParts PROMPT = PromptParts.parse("a:5000,b:300");

    private final UpstreamDirectory directory = new UpstreamDirectory(u -> {});
    private final FleetKnowledge fleet = new FleetKnowledge(directory, 1);
    private Upstream upstream;

    @BeforeEach
    void know() {
        InstanceRecord record =
                InstanceRecord.of("i", "m", "10.0.0.1:80", "z", 64, "v", Stage.READY, 1);
        directory.take(List.of(record), true);
        upstream = directory.ready("m").get(0);
        upstream.engine(new myrtleladder.configuration.Service.Engine(64, 500_000, 3));
    }

    private static FleetLoads answer(long epoch, long revision) {
        FleetLoads answer = new FleetLoads();
        answer.epoch = epoch;
        answer.promptRevision = revision;
        answer.loadsKnown = true;
        return answer;
    }

    @Test
    void anAnnouncementIsSentAgainUntilAnAnswerShowsThatItArrived() {
        fleet.sent(PROMPT, upstream, NOW);
        LoadReport lost = fleet.report();
        assertEquals(PROMPT.subject(), lost.cachedPrompts.get(0).prefixHash);
        assertEquals(upstream.key(), lost.cachedPrompts.get(0).upstreamKey);
        LoadReport second = fleet.report();
        assertEquals(1, second.cachedPrompts.size());
        assertTrue(second.sequence > lost.sequence);
        fleet.take(second, answer(3, 1), NOW);
        assertEquals(List.of(), fleet.report().cachedPrompts);
    }

    @Test
    void whatIsKnownAlreadyIsNotAnnouncedAgainForAWhile() {
        fleet.sent(PROMPT, upstream, NOW);
        fleet.take(fleet.report(), answer(3, 1), NOW);
        fleet.sent(PROMPT, upstream, NOW + 1_000);
        assertEquals(List.of(), fleet.report().cachedPrompts);
        fleet.sent(PROMPT, upstream, NOW + 30_000);
        assertEquals(1, fleet.report().cachedPrompts.size());
    }

    @Test
    void theOthersLoadsCountLessWithAgeAndThenNotAtAll() {
        FleetLoads answer = answer(3, 1);
        answer.loads.add(UpstreamLoad.of(upstream.key(), 4, 8_000));
        fleet.take(fleet.report(), answer, NOW);
        assertTrue(fleet.inTouch(NOW));
        assertEquals(4, upstream.others(NOW));
        assertEquals(8_000, upstream.othersTokens(NOW));
        assertTrue(upstream.othersTokens(NOW + 500) < 8_000);
        assertEquals(0, upstream.othersTokens(NOW + FleetKnowledge.FRESH));
        assertFalse(fleet.inTouch(NOW + FleetKnowledge.FRESH + 1));
    }

    @Test
    void whatIsNotNamedIsIdle() {
        FleetLoads busy = answer(3, 1);
        busy.loads.add(UpstreamLoad.of(upstream.key(), 4, 8_000));
        fleet.take(fleet.report(), busy, NOW);
        fleet.take(fleet.report(), answer(3, 1), NOW);
        assertEquals(0, upstream.others(NOW));
    }

    @Test
    void aPrimaryWithoutSumsTakesNothingAway() {
        FleetLoads busy = answer(3, 1);
        busy.loads.add(UpstreamLoad.of(upstream.key(), 4, 8_000));
        fleet.take(fleet.report(), busy, NOW);
        FleetLoads unknown = answer(4, 0);
        unknown.loadsKnown = false;
        fleet.take(fleet.report(), unknown, NOW + 100);
        assertTrue(upstream.othersTokens(NOW + 100) > 0);
        fleet.take(fleet.report(), null, NOW + 200);
        assertTrue(upstream.othersTokens(NOW + 200) > 0);
    }

    @Test
    void aDeposedPrimaryTellsNothing() {
        fleet.take(fleet.report(), answer(4, 9), NOW);
        FleetLoads old = answer(3, 50);
        old.loads.add(UpstreamLoad.of(upstream.key(), 4, 8_000));
        old.cachedPrompts.add(CachedPrompt.of(PROMPT.subject(), upstream.key()));
        fleet.take(fleet.report(), old, NOW);
        assertEquals(0, upstream.others(NOW));
        assertEquals(0, upstream.memory().kept(PROMPT, NOW));
        assertEquals(9, fleet.report().promptRevision);
    }

    @Test
    void beginningsThatOthersSentAreKnownToBeKept() {
        FleetLoads answer = answer(3, 7);
        answer.cachedPrompts.add(CachedPrompt.of(PROMPT.subject(), upstream.key()));
        answer.cachedPrompts.add(
                CachedPrompt.of(PROMPT.subject(), upstream.key() + 1)); // not known here
        fleet.take(fleet.report(), answer, NOW);
        assertEquals(5_000, upstream.memory().kept(PROMPT, NOW));
        assertEquals(7, fleet.report().promptRevision);
        fleet.sent(PROMPT, upstream, NOW);
        assertEquals(List.of(), fleet.report().cachedPrompts);
    }

    @Test
    void whereARequestWillLikelyGoIsToldWhileItWaits() {
        fleet.intends(() -> UpstreamLoad.of(upstream.key(), 1, 5_300));
        assertEquals(5_300, fleet.report().loads.get(0).pendingPromptTokens);
        fleet.intends(FleetKnowledge.NOTHING);
        assertEquals(List.of(), fleet.report().loads);
    }
}
