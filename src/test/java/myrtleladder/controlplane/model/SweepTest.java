package myrtleladder.controlplane.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentSkipListSet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Sweeps over numbered cases, complete and limited by a range. */
class SweepTest {
    private final Set<Long> executedCases = new ConcurrentSkipListSet<>();

    private List<String> sweep(Set<Long> failing) {
        return new Sweep("sweep-test", "SomeTest#some", 10, 20)
                .run(
                        number -> {
                            executedCases.add(number);
                            return failing.contains(number) ? number + " is wrong" : "";
                        });
    }

    @AfterEach
    void clearRange() {
        System.clearProperty("sweep-test.from");
        System.clearProperty("sweep-test.to");
    }

    @Test
    void eachCaseRunsOnceAndNoneFails() {
        assertEquals(List.of(), sweep(Set.of()));
        assertEquals(
                new TreeSet<>(Set.of(10L, 11L, 12L, 13L, 14L, 15L, 16L, 17L, 18L, 19L)),
                executedCases);
    }

    @Test
    void failureNamesTheCommandThatRunsItAgain() {
        List<String> failures = sweep(Set.of(13L));
        assertEquals(1, failures.size());
        String command = "mvn -B -Plong test -Dtest=SomeTest#some";
        String range = " -Dsweep-test.from=13 -Dsweep-test.to=14";
        assertTrue(failures.get(0).endsWith(command + range), failures.get(0));
    }

    @Test
    void rangeIsSetByProperties() {
        System.setProperty("sweep-test.from", "13");
        System.setProperty("sweep-test.to", "15");
        sweep(Set.of());
        assertEquals(new TreeSet<>(Set.of(13L, 14L)), executedCases);
    }
}
