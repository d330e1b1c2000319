package myrtleladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The list of tests that are known to fail. */
class KnownFailuresTest {
    private static final String ENTRY =
            "myrtleladder.KnownFailuresTest#listedTestIsFound, late, or lost, issue 38";

    @Test
    void listAtTheRootNamesTestsThatThereAreAndNotTooMany() {
        assertEquals(List.of(), new KnownFailures().problems());
    }

    @Test
    void listedTestIsFound() {
        KnownFailures list = new KnownFailures(List.of(ENTRY, ""));
        assertEquals(List.of(), list.problems());
        KnownFailures.Entry entry =
                list.find(KnownFailuresTest.class.getName(), "listedTestIsFound").orElseThrow();
        assertEquals("late, or lost", entry.cause());
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
    void listOfMoreThanThreeTestsIsRefused() {
        assertEquals(List.of(), new KnownFailures(Collections.nCopies(3, ENTRY)).problems());
        assertEquals(1, new KnownFailures(Collections.nCopies(4, ENTRY)).problems().size());
    }

    @Test
    void lineWithoutCauseOrIssueIsRefused() {
        String withoutIssue = "myrtleladder.KnownFailuresTest#listedTestIsFound, late";
        assertThrows(
                IllegalArgumentException.class, () -> new KnownFailures(List.of(withoutIssue)));
        assertEquals(1, new KnownFailures(List.of(withoutIssue + ", ")).problems().size());
    }
}
