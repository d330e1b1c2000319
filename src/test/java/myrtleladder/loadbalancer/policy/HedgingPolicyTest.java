package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Which requests are hedged, and how many of them. The request classes are those of {@link
 * SettingsBuilder#build}.
 */
class HedgingPolicyTest {
    private static final long SECOND_US = SimulatedHost.SECOND_US;
    private static final long MILLISECOND_US = SimulatedHost.MILLISECOND_US;
    private final SettingsBuilder settings = new SettingsBuilder();

    /**
     * Without a hedge, the attempt would stay outstanding at a vanished upstream until the
     * deadline, when a repeat is no longer permitted.
     */
    @ParameterizedTest(name = "class {0} within {1} ms")
    @CsvSource({"0, 1000", "1, 700"})
    void attemptAtUnresponsiveUpstreamIsHedgedWhileRepeatIsPermitted(int classIndex, int withinMs) {
        settings.hedging(true);
        settings.deduplicationScope(DeduplicationScope.ALL);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(4);
        String id = host.requestToFirstUpstream(classIndex);
        host.advance(withinMs * MILLISECOND_US);
        assertEquals(2, host.upstreamsByRequest.get(id).size());
        assertNotEquals("u0", host.lastUpstream(id));
        assertTrue(
                host.actions.stream().noneMatch(line -> line.contains("cancel")),
                "the first attempt may still be answered");
    }

    /**
     * With answer times of 400 ms and keys remembered for 1 s, hedging would send each slow request
     * twice, although there is no spare capacity.
     */
    @Test
    void slowRequestIsNotHedgedWhereKeysAreRememberedBriefly() {
        settings.hedging(true);
        settings.deduplicationScope(DeduplicationScope.ALL);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(4);
        for (int i = 0; i < 50; i++) {
            host.serve(1, 400 * MILLISECOND_US, upstream -> 0.5);
        }
        String id = host.request(1, 2 * SECOND_US);
        host.advance(2 * SECOND_US);
        assertEquals(1, host.upstreamsByRequest.get(id).size());
    }

    /** If many requests are slow at once, hedging all of them only adds load. */
    @Test
    void hedgesAreBoundedByBudget() {
        settings.hedging(true);
        settings.deduplicationScope(DeduplicationScope.ALL);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(12);
        for (int i = 0; i < 200; i++) {
            host.serve(1, 20 * MILLISECOND_US, upstream -> 0.5);
        }
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            ids.add(host.request(1, 2 * SECOND_US));
        }
        host.advance(700 * MILLISECOND_US);
        // 8 first attempts and 3 hedges, the size of the token bucket
        assertEquals(
                8 + 3, ids.stream().mapToInt(id -> host.upstreamsByRequest.get(id).size()).sum());
    }

    @ParameterizedTest(name = "class {0}, hedging {1}")
    @CsvSource({"0, false", "1, false", "2, false", "2, true"})
    void nonIdempotentRequestsAreNeverHedgedNorAnyWithHedgingDisabled(
            int classIndex, boolean isHedgingEnabled) {
        settings.hedging(isHedgingEnabled);
        settings.deduplicationScope(DeduplicationScope.ALL);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(4);
        String id = host.requestToFirstUpstream(classIndex);
        host.advance(SECOND_US);
        assertEquals(1, host.upstreamsByRequest.get(id).size());
    }

    /** An upstream that answers other requests has not failed: it is only slow with this one. */
    @Test
    void attemptAtUpstreamThatAnswersOthersIsNotHedged() {
        settings.hedging(true);
        settings.deduplicationScope(DeduplicationScope.ALL);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(2);
        String id = host.requestToFirstUpstream(1);
        int answeredByFirst = 0;
        for (int i = 0; i < 200; i++) {
            String other = host.request(0, 2 * SECOND_US);
            host.advance(5 * MILLISECOND_US);
            answeredByFirst += host.lastUpstream(other).equals("u0") ? 1 : 0;
            host.endAttempt(other, Outcome.OK, 5 * MILLISECOND_US, SimulatedHost.report(0.5));
        }
        assertTrue(answeredByFirst > 0, "u0 answered " + answeredByFirst + " other requests");
        assertEquals(1, host.upstreamsByRequest.get(id).size());
    }
}
