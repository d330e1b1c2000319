package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which requests are hedged, and how many of them. */
class HedgingPolicyTest {
    private static final long SECOND = SimulatedHost.SECOND;
    private static final long MILLI = SimulatedHost.MILLI;
    private final SettingsBuilder settings = new SettingsBuilder();

    /**
     * Guards against detecting a vanished upstream too late: the attempt stayed outstanding until the
     * deadline, when a repeat was no longer permitted.
     */
    @ParameterizedTest(name = "class {0} within {1} ms")
    @CsvSource({"0, 1000", "1, 700"})
    void attemptAtUnresponsiveUpstreamIsHedgedWhileRepeatIsPermitted(int cls, int within) {
        settings.hedging(true);
        settings.scope(Scope.ALL);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(4);
        String id = host.requestToFirstUpstream(cls);
        host.advance(within * MILLI);
        assertEquals(2, host.sends.get(id).size());
        assertNotEquals("u0", host.lastUpstream(id));
        assertTrue(
                host.actions.stream().noneMatch(line -> line.contains("cancel")),
                "the first attempt may still be answered");
    }

    /**
     * Guards against hedging every slow request: with answer times of 400 ms and a key remembered for
     * 1 s, each slow request was sent twice, although there was no spare capacity.
     */
    @Test
    void nothingIsHedgedWhereMemorySpanIsShortAgainstAnswerTimes() {
        settings.hedging(true);
        settings.scope(Scope.ALL);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(4);
        for (int i = 0; i < 50; i++) {
            host.serve(1, 400 * MILLI, upstream -> 0.5);
        }
        String id = host.request(1, 2 * SECOND);
        host.advance(2 * SECOND);
        assertEquals(1, host.sends.get(id).size());
    }

    /** If many requests are slow at once, hedging all of them only adds load. */
    @Test
    void hedgesAreBoundedByBudget() {
        settings.hedging(true);
        settings.scope(Scope.ALL);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(12);
        for (int i = 0; i < 200; i++) {
            host.serve(1, 20 * MILLI, upstream -> 0.5);
        }
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            ids.add(host.request(1, 2 * SECOND));
        }
        host.advance(700 * MILLI);
        assertEquals(8 + 3, ids.stream().mapToInt(id -> host.sends.get(id).size()).sum());
    }

    @ParameterizedTest(name = "class {0}, hedging {1}")
    @CsvSource({"0, false", "1, false", "2, false", "2, true"})
    void unsafeRequestsAreNeverHedgedNorAnyWhereHedgingIsOff(int cls, boolean secondCopies) {
        settings.hedging(secondCopies);
        settings.scope(Scope.ALL);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(4);
        String id = host.requestToFirstUpstream(cls);
        host.advance(SECOND);
        assertEquals(1, host.sends.get(id).size());
    }

    /** An upstream that answers other requests does not hang: it is only slow with this one. */
    @Test
    void attemptAtUpstreamThatAnswersOthersIsNotHedged() {
        settings.hedging(true);
        settings.scope(Scope.ALL);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(2);
        String id = host.requestToFirstUpstream(1);
        int others = 0;
        for (int i = 0; i < 200; i++) {
            String other = host.request(0, 2 * SECOND);
            host.advance(5 * MILLI);
            others += host.lastUpstream(other).equals("u0") ? 1 : 0;
            host.endAttempt(other, Outcome.OK, 5 * MILLI, SimulatedHost.report(0.5));
        }
        assertTrue(others > 0, "u0 answered " + others + " other requests");
        assertEquals(1, host.sends.get(id).size());
    }
}
