package myrtleladder.controlplane.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Drawn schedules of losses as close to each other as the deployments allow. */
class RandomFaultScheduleTest {
    private static final int SHOWN = 5;

    @Test
    void drawnSchedulesKeepWhatWasAcknowledged() {
        assertEquals(List.of(), found(0, 1_000));
    }

    @Test
    @Tag("long")
    void manyDrawnSchedulesKeepWhatWasAcknowledged() {
        assertEquals(List.of(), found(1_000, 101_000));
    }

    static List<String> found(long from, long to) {
        return LongStream.range(from, to)
                .parallel()
                .mapToObj(RandomFaultScheduleTest::faults)
                .filter(faults -> !faults.isEmpty())
                .limit(SHOWN)
                .toList();
    }

    private static String faults(long seed) {
        List<String> faults = FaultSchedule.faults(seed, null);
        return faults.isEmpty() ? "" : seed + ": " + faults;
    }
}
