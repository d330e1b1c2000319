package myrtleladder.controlplane.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Random schedules of faults as close to each other as the deployments allow. */
class RandomFaultScheduleTest {
    private static final int MAX_SHOWN = 5;

    @Test
    void randomFaultsLoseNothingThatWasAcknowledged() {
        assertEquals(List.of(), violations(0, 1_000));
    }

    @Test
    @Tag("long")
    void manyRandomFaultsLoseNothingThatWasAcknowledged() {
        assertEquals(List.of(), violations(1_000, 101_000));
    }

    private static List<String> violations(long from, long to) {
        return LongStream.range(from, to)
                .parallel()
                .mapToObj(RandomFaultScheduleTest::violations)
                .filter(violations -> !violations.isEmpty())
                .limit(MAX_SHOWN)
                .toList();
    }

    private static String violations(long seed) {
        List<String> violations = FaultSchedule.violations(seed, null);
        return violations.isEmpty() ? "" : seed + ": " + violations;
    }
}
