package myrtleladder.controlplane.model;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Without any one of its guards the protocol fails in some drawn schedule, so the model notices.
 */
class SafeguardRemovalTest {
    private static final long MOST = 3_000;

    @ParameterizedTest
    @EnumSource(Safeguard.class)
    void aScheduleFailsWithoutThisGuard(Safeguard missing) {
        boolean noticed =
                LongStream.range(0, MOST)
                        .parallel()
                        .anyMatch(seed -> !FaultSchedule.faults(seed, missing).isEmpty());
        assertTrue(noticed, "nothing fails without " + missing);
    }
}
