package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import myrtleladder.loadbalancer.policy.Upstream.State;
import org.junit.jupiter.api.Test;

/**
 * {@link RuleChecker} detects violations of each rule. The request classes are those of {@link
 * SettingsBuilder#build}.
 */
class RuleCheckerTest {
    private static final long SECOND_US = SimulatedHost.SECOND_US;

    /** Creates a checker with the warm upstreams u0 and u1, and u2, which is launched at 10 s. */
    private RuleChecker newChecker() {
        RuleChecker checker = new RuleChecker(new SettingsBuilder().build(), 1.0);
        checker.endpointsReported(
                0,
                EndpointListKind.RESTORED,
                List.of(
                        SimulatedHost.endpoint(0, State.READY, 0),
                        SimulatedHost.endpoint(1, State.READY, 0),
                        SimulatedHost.endpoint(2, State.READY, 10 * SECOND_US)));
        return checker;
    }

    private static Request request(int classIndex, long work) {
        return new Request("r", classIndex, 0, null, work, SECOND_US, false, false);
    }

    private static void assertViolation(RuleChecker checker, String rule) {
        assertFalse(checker.violations.isEmpty());
        assertTrue(checker.violations.get(0).startsWith(rule), checker.violations.toString());
    }

    @Test
    void checkerCatchesAMissingAnswer() {
        RuleChecker checker = newChecker();
        checker.requestArrived(0, request(0, 1));
        checker.finish(2 * SECOND_US);
        assertViolation(checker, "1");
    }

    @Test
    void checkerCatchesARepeatedNonIdempotentRequest() {
        RuleChecker checker = newChecker();
        checker.requestArrived(0, request(2, 1));
        checker.attemptSent(0, "r", "u0");
        checker.attemptEnded(new AttemptEnd("r", 0, "u0", Outcome.RESET, 1, false, null));
        checker.attemptSent(1, "r", "u0");
        assertViolation(checker, "2");
    }

    @Test
    void checkerCatchesAKeyedRepeatInAnotherZone() {
        RuleChecker checker = newChecker();
        checker.requestArrived(0, request(1, 1));
        checker.attemptSent(0, "r", "u0");
        checker.attemptEnded(new AttemptEnd("r", 0, "u0", Outcome.TIMEOUT, 1, false, null));
        checker.attemptSent(1, "r", "u1");
        assertViolation(checker, "2");
    }

    @Test
    void checkerCatchesASendToADrainedUpstream() {
        RuleChecker checker = newChecker();
        checker.endpointsReported(
                0, EndpointListKind.CHANGES, List.of(SimulatedHost.endpoint(0, State.DRAINING, 0)));
        checker.requestArrived(2 * SECOND_US, request(0, 1));
        checker.attemptSent(2 * SECOND_US, "r", "u0");
        assertViolation(checker, "3");
    }

    @Test
    void checkerCatchesAnOverloadedColdUpstream() {
        RuleChecker checker = newChecker();
        checker.requestArrived(11 * SECOND_US, request(0, 5 * SECOND_US));
        checker.attemptSent(11 * SECOND_US, "r", "u2");
        assertViolation(checker, "4");
    }
}
