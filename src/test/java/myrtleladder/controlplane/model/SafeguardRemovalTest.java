package myrtleladder.controlplane.model;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Without any one of its safeguards the protocol fails in some random schedule; this shows that the
 * simulation can detect such an error.
 */
class SafeguardRemovalTest {
    private static final long MAX_SEEDS = 3_000;

    @ParameterizedTest
    @EnumSource(Safeguard.class)
    void someScheduleFailsWithoutTheSafeguard(Safeguard removed) {
        boolean isDetected =
                LongStream.range(0, MAX_SEEDS)
                        .parallel()
                        .anyMatch(seed -> !FaultSchedule.violations(seed, removed).isEmpty());
        assertTrue(isDetected, "no schedule fails without " + removed);
    }
}
