package myrtleladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The list of tests that are known to fail. */
class KnownFailuresTest {
    private static final String ENTRY =
            "myrtleladder.KnownFailuresTest#listedTestIsFound | mvn -Dseed=7 test | late, or lost"
                    + " | issue 38";

    @Test
    void listAtTheRootIsCompleteAndNamesTestsThatThereAre() {
        assertEquals(List.of(), new KnownFailures().problems());
    }

    @Test
    void listedTestIsFound() {
        KnownFailures list = new KnownFailures(List.of(ENTRY, ""));
        assertEquals(List.of(), list.problems());
        KnownFailures.Entry entry =
                list.find(KnownFailuresTest.class.getName(), "listedTestIsFound").orElseThrow();
        assertEquals("mvn -Dseed=7 test", entry.command());
        assertEquals("late, or lost", entry.seen());
        assertEquals("issue 38", entry.issue());
        assertTrue(list.find(KnownFailuresTest.class.getName(), "another").isEmpty());
    }

    @Test
    void listWithATestThatDoesNotExistIsRefused() {
        String other = ENTRY.replace("listedTestIsFound", "gone");
        assertEquals(1, new KnownFailures(List.of(other)).problems().size());
        String otherClass = ENTRY.replace("KnownFailuresTest", "NoSuchTest");
        assertEquals(1, new KnownFailures(List.of(otherClass)).problems().size());
    }

    @Test
    void eachOfManyListedTestsIsChecked() {
        List<String> lines = new ArrayList<>(Collections.nCopies(5, ENTRY));
        lines.add(ENTRY.replace("listedTestIsFound", "gone"));
        assertEquals(1, new KnownFailures(lines).problems().size());
    }

    @Test
    void incompleteLineIsRefused() {
        for (String part : List.of(" | mvn -Dseed=7 test", " | late, or lost", " | issue 38")) {
            String shorter = ENTRY.replace(part, "");
            assertThrows(IllegalArgumentException.class, () -> new KnownFailures(List.of(shorter)));
            String empty = ENTRY.replace(part, " | ");
            assertEquals(1, new KnownFailures(List.of(empty)).problems().size());
        }
    }
}
