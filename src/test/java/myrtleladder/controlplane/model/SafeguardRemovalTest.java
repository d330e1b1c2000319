package myrtleladder.controlplane.model;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Without any one of its safeguards the protocol fails in some random schedule: the simulation
 * would notice it.
 */
class SafeguardRemovalTest {
    private static final long MAX_SEEDS = 3_000;

    @ParameterizedTest
    @EnumSource(Safeguard.class)
    void someScheduleFailsWithoutTheSafeguard(Safeguard removed) {
        boolean isNoticed =
                LongStream.range(0, MAX_SEEDS)
                        .parallel()
                        .anyMatch(seed -> !FaultSchedule.violations(seed, removed).isEmpty());
        assertTrue(isNoticed, "nothing fails without " + removed);
    }
}
