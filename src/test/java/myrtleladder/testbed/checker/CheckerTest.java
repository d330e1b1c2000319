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

/** What a balancer can do wrong is found, each by its rule and its id; what it may do is not. */
class CheckerTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final Rules RULES = new Rules(50 * MS, 2 * SECOND, 0.3, 8 * SECOND, 2.5, SECOND);

    private final Checker checker = new Checker(RULES);

    private void sent(Repeat repeat) {
        checker.started(0, "u", 2);
        checker.sent("r", repeat, 3 * SECOND, 11 * SECOND);
        checker.taken("r");
    }

    private void attempt(long at) {
        checker.attempt(at, "b", "u", "r", 50 * MS);
    }

    /** One history for each rule: right up to the last step, which breaks it. */
    private Consumer<Boolean> history(Kind kind) {
        return wrong -> {
            switch (kind) {
                case LOST -> {
                    sent(Repeat.FREE);
                    checker.expire(11 * SECOND + (wrong ? 51 : 50) * MS);
                }
                case DOUBLE -> {
                    sent(Repeat.KEYED);
                    attempt(9 * SECOND);
                    attempt(wrong ? 12 * SECOND + 1 : 12 * SECOND);
                }
                case SPOILT -> {
                    sent(Repeat.FREE);
                    attempt(9 * SECOND);
                    checker.made("r", "hers");
                    checker.answered(10 * SECOND, "r", wrong ? "his" : "hers");
                }
                case AFTER_DRAIN -> {
                    sent(Repeat.FREE);
                    checker.notifiedOfDrain(8 * SECOND, "b", "u");
                    attempt(wrong ? 10 * SECOND + 1 : 10 * SECOND);
                }
                case OUT -> {
                    sent(Repeat.FREE);
                    checker.out("u", true);
                    checker.out("u", wrong);
                    attempt(9 * SECOND);
                }
                case COLD_OVERRUN -> {
                    sent(Repeat.FREE);
                    // Bears 2.5 times 0.3 of 2 cores for a second just after its start.
                    for (int i = 0; i < (wrong ? 31 : 29); i++) {
                        checker.attempt(i, "b" + i, "u", "r", 50 * MS);
                    }
                }
                default -> checker.attempt(SECOND, "b", started(), wrong ? "nobody's" : known(), 1);
            }
        };
    }

    private String started() {
        sent(Repeat.SINGLE);
        return "u";
    }

    private String known() {
        return "r";
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void eachRuleIsBrokenByTheStepThatBreaksItAndNotBefore(Kind kind) {
        history(kind).accept(true);
        assertEquals(List.of(kind), checker.violations().stream().map(Violation::kind).toList());
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void whatIsStillAllowedBreaksNoRule(Kind kind) {
        history(kind).accept(false);
        assertEquals(List.of(), checker.violations());
    }

    @Test
    void aSingleRequestMayGoAgainOnlyAfterProofThatItNeverRan() {
        sent(Repeat.SINGLE);
        attempt(9 * SECOND);
        checker.neverRan("r", 9 * SECOND);
        attempt(10 * SECOND);
        assertEquals(List.of(), checker.violations());
        attempt(10 * SECOND + 1);
        assertEquals("r", checker.violations().get(0).id());
    }

    /** A balancer that does all right, in any order: nothing is found, whatever the seed. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void aRightHistoryIsNeverBlamed(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int u = 0; u < 3; u++) {
            checker.started(-20 * SECOND, "u" + u, 2);
        }
        for (int i = 0; i < 500; i++) {
            String id = "r" + i;
            long now = i * 20 * MS;
            Repeat repeat = Repeat.values()[random.nextInt(3)];
            checker.sent(id, repeat, 3 * SECOND, now + SECOND);
            checker.taken(id);
            int tries = repeat == Repeat.SINGLE ? 1 : random.nextInt(1, 4);
            for (int t = 0; t < tries; t++) {
                checker.attempt(now + t, "b", "u" + random.nextInt(3), id, 30 * MS);
            }
            checker.made(id, "body" + i);
            switch (random.nextInt(4)) {
                case 0 -> checker.answered(now + SECOND, id, "body" + i);
                case 1 -> checker.answered(now + SECOND / 2, id, null);
                case 2 -> checker.partitioned(now + SECOND / 3, id, true);
                default -> checker.left(id);
            }
            checker.expire(now);
        }
        checker.expire(60 * SECOND);
        assertEquals(List.of(), checker.violations(), "seed " + seed);
    }
}
