package myrtleladder.testbed.checker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import myrtleladder.testbed.checker.Checker.Repeat;
import myrtleladder.testbed.checker.Violation.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Each rule is reported if a balancer violates it, and only then. Times are microseconds. */
class CheckerTest {
    private static final long US_PER_MS = 1_000;
    private static final long US_PER_S = 1_000 * US_PER_MS;
    private static final Rules RULES =
            new Rules(50 * US_PER_MS, 2 * US_PER_S, 0.3, 8 * US_PER_S, 2.5, US_PER_S);

    private final Checker checker = new Checker(RULES);

    private void sendRequest(Repeat repeat) {
        checker.upstreamStarted(0, "u", 2);
        checker.requestSent("r", repeat, 3 * US_PER_S, 11 * US_PER_S);
        checker.requestAccepted("r");
    }

    private void receiveAttempt(long atUs) {
        checker.attemptReceived(atUs, "b", "u", "r", 50 * US_PER_MS);
    }

    /** A history for each rule, which is at the limit of the rule or, if asked for, violates it. */
    private Consumer<Boolean> history(Kind kind) {
        return isViolated -> {
            switch (kind) {
                case LOST -> {
                    sendRequest(Repeat.FREE);
                    checker.checkAllDeadlines(11 * US_PER_S + (isViolated ? 51 : 50) * US_PER_MS);
                }
                case DOUBLE -> {
                    sendRequest(Repeat.KEYED);
                    receiveAttempt(9 * US_PER_S);
                    receiveAttempt(isViolated ? 12 * US_PER_S + 1 : 12 * US_PER_S);
                }
                case SPOILT -> {
                    sendRequest(Repeat.FREE);
                    receiveAttempt(9 * US_PER_S);
                    checker.responseProduced("r", "hers");
                    checker.responseReceived(10 * US_PER_S, "r", isViolated ? "his" : "hers");
                }
                case AFTER_DRAIN -> {
                    sendRequest(Repeat.FREE);
                    checker.drainReported(8 * US_PER_S, "b", "u");
                    receiveAttempt(isViolated ? 10 * US_PER_S + 1 : 10 * US_PER_S);
                }
                case OUT -> {
                    sendRequest(Repeat.FREE);
                    checker.setUnderMaintenance("u", true);
                    checker.setUnderMaintenance("u", isViolated);
                    receiveAttempt(9 * US_PER_S);
                }
                case COLD_OVERRUN -> {
                    sendRequest(Repeat.FREE);
                    // The limit at the start is 2.5 * 0.3 * 2 cores * 1 s = 1.5 s of work: 30
                    // attempts.
                    for (int i = 0; i < (isViolated ? 31 : 29); i++) {
                        checker.attemptReceived(i, "b" + i, "u", "r", 50 * US_PER_MS);
                    }
                }
                default ->
                        checker.attemptReceived(
                                US_PER_S, "b", startUpstream(), isViolated ? "unknown" : "r", 1);
            }
        };
    }

    private String startUpstream() {
        sendRequest(Repeat.SINGLE);
        return "u";
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void aHistoryBeyondTheLimitOfARuleIsReportedOnceAsItsKind(Kind kind) {
        history(kind).accept(true);
        assertEquals(List.of(kind), checker.violations().stream().map(Violation::kind).toList());
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void aHistoryAtTheLimitOfARuleIsNotReported(Kind kind) {
        history(kind).accept(false);
        assertEquals(List.of(), checker.violations());
    }

    @Test
    void aSingleRequestMayBeSentAgainOnlyAfterARejectedAttempt() {
        sendRequest(Repeat.SINGLE);
        receiveAttempt(9 * US_PER_S);
        checker.attemptRejected("r", 9 * US_PER_S);
        receiveAttempt(10 * US_PER_S);
        assertEquals(List.of(), checker.violations());
        receiveAttempt(10 * US_PER_S + 1);
        assertEquals("r", checker.violations().get(0).id());
    }

    /** A correct balancer under random histories: no violation for any seed. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void aCorrectHistoryIsNeverReported(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int u = 0; u < 3; u++) {
            checker.upstreamStarted(-20 * US_PER_S, "u" + u, 2);
        }
        for (int i = 0; i < 500; i++) {
            String id = "r" + i;
            String body = "body" + i;
            long nowUs = i * 20L * US_PER_MS;
            Repeat repeat = Repeat.values()[random.nextInt(3)];
            checker.requestSent(id, repeat, 3 * US_PER_S, nowUs + US_PER_S);
            checker.requestAccepted(id);
            int attempts = repeat == Repeat.SINGLE ? 1 : random.nextInt(1, 4);
            for (int t = 0; t < attempts; t++) {
                checker.attemptReceived(
                        nowUs + t, "b", "u" + random.nextInt(3), id, 30 * US_PER_MS);
            }
            checker.responseProduced(id, body);
            switch (random.nextInt(4)) {
                case 0 -> checker.responseReceived(nowUs + US_PER_S, id, body);
                case 1 -> checker.responseReceived(nowUs + US_PER_S / 2, id, null);
                case 2 -> checker.connectionClosed(nowUs + US_PER_S / 3, id, true);
                default -> checker.requestAbandoned(id);
            }
            checker.checkAllDeadlines(nowUs);
        }
        checker.checkAllDeadlines(60 * US_PER_S);
        assertEquals(List.of(), checker.violations(), "seed " + seed);
    }
}
