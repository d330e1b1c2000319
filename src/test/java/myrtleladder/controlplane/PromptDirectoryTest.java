package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import myrtleladder.protocol.CachedPrompt;
import myrtleladder.protocol.FleetLoads;
import myrtleladder.protocol.LoadReport;
import org.junit.jupiter.api.Test;

/** What upstreams keep, as the balancers announced it. */
class PromptDirectoryTest {
    private final PromptDirectory directory = new PromptDirectory();

    private FleetLoads told(long known) {
        FleetLoads answer = new FleetLoads();
        directory.tell(answer, known);
        return answer;
    }

    private static List<Long> prompts(FleetLoads answer) {
        return answer.cachedPrompts.stream().map(kept -> kept.prefixHash).toList();
    }

    @Test
    void eachIsToldOnceWhatIsNewToTheBalancer() {
        directory.take(List.of(CachedPrompt.of(11, 1), CachedPrompt.of(12, 2)));
        FleetLoads first = told(0);
        assertEquals(List.of(11L, 12L), prompts(first));
        assertEquals(List.of(), prompts(told(first.promptRevision)));
        directory.take(List.of(CachedPrompt.of(13, 1)));
        assertEquals(List.of(13L), prompts(told(first.promptRevision)));
    }

    @Test
    void anAnnouncementThatArrivesAgainIsKeptOnce() {
        directory.take(List.of(CachedPrompt.of(11, 1), CachedPrompt.of(12, 2)));
        directory.take(List.of(CachedPrompt.of(11, 1)));
        assertEquals(List.of(12L, 11L), prompts(told(0)));
        directory.take(List.of(CachedPrompt.of(11, 3)));
        assertEquals(List.of(12L, 11L, 11L), prompts(told(0)));
    }

    @Test
    void longNewsAreToldInParts() {
        List<CachedPrompt> announced = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            announced.add(CachedPrompt.of(i, 1));
        }
        directory.take(announced);
        List<Long> all = new ArrayList<>();
        long known = 0;
        for (int round = 0; round < 3; round++) {
            FleetLoads part = told(known);
            assertTrue(part.cachedPrompts.size() <= 128);
            all.addAll(prompts(part));
            known = part.promptRevision;
        }
        assertEquals(announced.stream().map(kept -> kept.prefixHash).toList(), all);
    }

    @Test
    void theOldestGiveWayAndMemoryIsBounded() {
        for (int i = 0; i < 20_000; i++) {
            directory.take(List.of(CachedPrompt.of(i, 1)));
        }
        assertEquals(20_000 - 8_192, told(0).cachedPrompts.get(0).prefixHash);
    }

    @Test
    void whatABalancerKnowsFromAnotherEpochDoesNotCount() {
        FleetView view = new FleetView();
        view.lead(0);
        LoadReport report = new LoadReport();
        report.balancer = "a";
        report.cachedPrompts.add(CachedPrompt.of(11, 1));
        view.take(report, 10);
        LoadReport other = new LoadReport();
        other.balancer = "b";
        other.epoch = 4;
        other.promptRevision = 1;
        assertEquals(List.of(11L), prompts(view.tell(other, 5, 20)));
        other.epoch = 5;
        assertEquals(List.of(), prompts(view.tell(other, 5, 20)));
    }
}
