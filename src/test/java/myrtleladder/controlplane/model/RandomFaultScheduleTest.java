package myrtleladder.controlplane.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Random schedules of faults that follow each other as closely as the fault model allows. */
class RandomFaultScheduleTest {
    private static final long CASES_IN_CI = 1_000;
    private static final long CASES_IN_LONG_PROFILE = 100_000;
    private static final String LONG_TEST =
            "RandomFaultScheduleTest#manyRandomFaultsLoseNothingThatWasAcknowledged";

    @Test
    void randomFaultsLoseNothingThatWasAcknowledged() {
        assertEquals(List.of(), violations("schedules", 0, CASES_IN_CI));
    }

    @Test
    @Tag("long")
    void manyRandomFaultsLoseNothingThatWasAcknowledged() {
        assertEquals(
                List.of(),
                violations("schedules", CASES_IN_CI, CASES_IN_CI + CASES_IN_LONG_PROFILE));
    }

    private static List<String> violations(String name, long from, long to) {
        return new Sweep(name, LONG_TEST, from, to).run(RandomFaultScheduleTest::violations);
    }

    private static String violations(long seed) {
        List<String> violations = FaultSchedule.violations(seed, null);
        return violations.isEmpty() ? "" : seed + ": " + violations;
    }
}
