package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import myrtleladder.controlplane.TallyHistory.Addition;
import myrtleladder.controlplane.TallyHistory.Interval;
import myrtleladder.controlplane.TallyHistory.Outcome;
import myrtleladder.controlplane.TallyHistory.Reading;
import myrtleladder.controlplane.TallyHistory.Wipe;
import org.junit.jupiter.api.Test;

/** The checks of the soak runs detect each kind of violation and raise no false alarm. */
class TallyHistoryTest {
    private static final int MERGE_MS = 3_000;

    private final TallyHistory history = new TallyHistory(MERGE_MS);

    private static long ns(int ms) {
        return ms * 1_000_000L;
    }

    private void add(String id, String node, int incarnation, int atMs, Outcome outcome) {
        history.record(
                new Addition("t", id, 5, node, incarnation, ns(atMs), ns(atMs + 10), outcome));
    }

    private void read(String node, int incarnation, int atMs, long total) {
        history.record(new Reading("t", node, incarnation, ns(atMs), ns(atMs + 10), total));
    }

    private void assertViolations(String... rules) {
        List<String> found =
                history.violations().stream()
                        .map(violation -> violation.substring(0, violation.indexOf(':')))
                        .toList();
        assertEquals(List.of(rules), found);
    }

    @Test
    void totalsWithinBothBoundsPass() {
        add("a", "n0", 1, 1_000, Outcome.UNKNOWN);
        add("a", "n1", 1, 2_000, Outcome.ACKNOWLEDGED);
        add("b", "n1", 1, 3_000, Outcome.UNKNOWN);
        add("c", "n1", 1, 4_000, Outcome.REFUSED);
        read("n0", 1, 2_005, 0);
        read("n1", 1, 3_005, 10);
        read("n0", 1, 9_000, 5);
        assertViolations();
    }

    @Test
    void idThatCountedTwiceOrWasRefusedIsDetected() {
        add("a", "n0", 1, 1_000, Outcome.ACKNOWLEDGED);
        add("a", "n1", 1, 2_000, Outcome.ACKNOWLEDGED);
        add("b", "n1", 1, 2_500, Outcome.REFUSED);
        read("n1", 1, 3_000, 10);
        assertViolations("TWICE");
    }

    @Test
    void totalWithoutAnAdditionOfTheSameProcessIsDetected() {
        history.recordDisruption(new Interval(ns(0), ns(10_000)));
        add("a", "n0", 1, 1_000, Outcome.ACKNOWLEDGED);
        read("n0", 2, 2_000, 0);
        read("n0", 1, 2_000, 0);
        assertViolations("STALE");
    }

    @Test
    void totalWithoutAnAdditionOfAnotherNodeIsDetectedAfterTheMergePeriod() {
        history.recordDisruption(new Interval(ns(2_000), ns(5_000)));
        add("a", "n0", 1, 1_000, Outcome.ACKNOWLEDGED);
        read("n1", 1, 7_900, 0);
        read("n1", 1, 8_100, 0);
        assertViolations("LOST or not merged");
    }

    @Test
    void additionAcknowledgedDuringAPartitionMayBeLostWithTheDisk() {
        history.recordPartition(new Interval(ns(500), ns(2_000)));
        history.record(new Wipe("n0", ns(4_000)));
        add("a", "n0", 1, 1_000, Outcome.ACKNOWLEDGED);
        read("n2", 1, 9_000, 0);
        assertViolations();
        add("b", "n1", 1, 1_000, Outcome.ACKNOWLEDGED);
        read("n2", 1, 9_000, 0);
        assertViolations("LOST or not merged", "LOST or not merged");
    }
}
