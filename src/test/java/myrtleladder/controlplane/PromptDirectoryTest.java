package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import myrtleladder.protocol.CachedPrompt;
import myrtleladder.protocol.FleetLoads;
import myrtleladder.protocol.LoadReport;
import org.junit.jupiter.api.Test;

/** Cached prompts of upstreams, as announced by the balancers. */
class PromptDirectoryTest {
    private final PromptDirectory directory = new PromptDirectory();

    private FleetLoads changesSince(long knownRevision) {
        FleetLoads response = new FleetLoads();
        directory.addChangesSince(response, knownRevision);
        return response;
    }

    private static List<Long> prompts(FleetLoads response) {
        return response.cachedPrompts.stream().map(cached -> cached.prefixHash).toList();
    }

    @Test
    void balancerGetsEachAnnouncementOnce() {
        directory.record(List.of(CachedPrompt.of(11, 1), CachedPrompt.of(12, 2)));
        FleetLoads first = changesSince(0);
        assertEquals(List.of(11L, 12L), prompts(first));
        assertEquals(List.of(), prompts(changesSince(first.promptRevision)));
        directory.record(List.of(CachedPrompt.of(13, 1)));
        assertEquals(List.of(13L), prompts(changesSince(first.promptRevision)));
    }

    @Test
    void repeatedAnnouncementIsStoredOnce() {
        directory.record(List.of(CachedPrompt.of(11, 1), CachedPrompt.of(12, 2)));
        directory.record(List.of(CachedPrompt.of(11, 1)));
        assertEquals(List.of(12L, 11L), prompts(changesSince(0)));
        directory.record(List.of(CachedPrompt.of(11, 3)));
        assertEquals(List.of(12L, 11L, 11L), prompts(changesSince(0)));
    }

    @Test
    void manyAnnouncementsAreSentInParts() {
        List<CachedPrompt> announced = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            announced.add(CachedPrompt.of(i, 1));
        }
        directory.record(announced);
        List<Long> all = new ArrayList<>();
        long known = 0;
        for (int round = 0; round < 3; round++) {
            FleetLoads part = changesSince(known);
            assertTrue(part.cachedPrompts.size() <= 128);
            all.addAll(prompts(part));
            known = part.promptRevision;
        }
        assertEquals(announced.stream().map(cached -> cached.prefixHash).toList(), all);
    }

    @Test
    void oldestAnnouncementsAreDroppedToBoundMemory() {
        for (int i = 0; i < 20_000; i++) {
            directory.record(List.of(CachedPrompt.of(i, 1)));
        }
        assertEquals(20_000 - 8_192, changesSince(0).cachedPrompts.get(0).prefixHash);
    }

    @Test
    void revisionOfAnotherEpochIsIgnored() {
        FleetLoadExchange exchange = new FleetLoadExchange();
        exchange.reset(0);
        LoadReport report = new LoadReport();
        report.balancer = "a";
        report.cachedPrompts.add(CachedPrompt.of(11, 1));
        exchange.record(report, 10);
        LoadReport other = new LoadReport();
        other.balancer = "b";
        other.epoch = 4;
        other.promptRevision = 1;
        assertEquals(List.of(11L), prompts(exchange.responseTo(other, 5, 20)));
        other.epoch = 5;
        assertEquals(List.of(), prompts(exchange.responseTo(other, 5, 20)));
    }
}
