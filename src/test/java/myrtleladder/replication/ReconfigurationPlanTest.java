package myrtleladder.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import myrtleladder.protocol.Member;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The members of the next group, for several group sizes and numbers of tolerated failures. A
 * member is written as one letter, a group as a string of letters.
 */
class ReconfigurationPlanTest {
    private static Member member(String letter) {
        return Member.of(letter + ":1", letter + ":2", letter);
    }

    private static List<Member> members(String letters) {
        return Arrays.stream(letters.split(""))
                .filter(letter -> !letter.isEmpty())
                .map(ReconfigurationPlanTest::member)
                .toList();
    }

    /** Starts a plan for a group with the given minimum size. */
    private static PlanBuilder group(String letters, int minimumSize) {
        return new PlanBuilder(letters, minimumSize);
    }

    private static final class PlanBuilder {
        private final String group;
        private final int minimumSize;
        private String joining = "";
        private String unresponsive = "";
        private String leaving = "";

        PlanBuilder(String group, int minimumSize) {
            this.group = group;
            this.minimumSize = minimumSize;
        }

        PlanBuilder joining(String letters) {
            joining = letters;
            return this;
        }

        PlanBuilder unresponsive(String letters) {
            unresponsive = letters;
            return this;
        }

        PlanBuilder leaving(String letters) {
            leaving = letters;
            return this;
        }

        ReconfigurationPlan build() {
            return new ReconfigurationPlan(
                    members(group),
                    new LinkedHashSet<>(members(joining)),
                    members(unresponsive),
                    new LinkedHashSet<>(members(leaving)),
                    minimumSize);
        }

        void assertNextGroup(String expected) {
            ReconfigurationPlan plan = build();
            StringBuilder letters = new StringBuilder();
            plan.nextGroup().forEach(member -> letters.append(member.storeId));
            assertEquals(expected, letters.toString());
            assertEquals(!expected.equals(group), plan.changesGroup());
        }
    }

    @Test
    void joinerReplacesUnresponsiveMemberInTheSameChange() {
        group("abc", 3).joining("d").unresponsive("c").assertNextGroup("abd");
        group("abcde", 5).joining("fg").unresponsive("de").assertNextGroup("abcfg");
    }

    @Test
    void joinerEnlargesAGroupWithoutUnresponsiveMembers() {
        group("abc", 3).joining("d").assertNextGroup("abcd");
    }

    @Test
    void unresponsiveMemberStaysInGroupOfMinimumSize() {
        group("abc", 3).unresponsive("c").assertNextGroup("abc");
        group("abcde", 5).unresponsive("de").assertNextGroup("abcde");
    }

    @Test
    void unresponsiveAndLeavingMembersAreRemovedDownToMinimumSize() {
        group("abcd", 3).unresponsive("c").assertNextGroup("abd");
        group("abcdefgh", 5).unresponsive("fgh").assertNextGroup("abcde");
        group("abcd", 3).leaving("c").assertNextGroup("abd");
        group("abcd", 3).unresponsive("c").leaving("d").assertNextGroup("abd");
    }

    @Test
    void leavingMemberStaysUntilItsSuccessorJoins() {
        group("abc", 3).leaving("c").assertNextGroup("abc");
        group("abc", 3).joining("d").leaving("c").assertNextGroup("abd");
    }

    @Test
    void machineWithAnotherStoreReplacesItsFormerMember() {
        Member wiped = Member.of("c:1", "c:2", "C");
        ReconfigurationPlan plan =
                new ReconfigurationPlan(members("abc"), Set.of(wiped), List.of(), Set.of(), 3);
        List<Member> next = plan.nextGroup();
        assertEquals(3, next.size());
        assertTrue(next.contains(wiped));
        assertFalse(next.contains(member("c")));
    }

    @Test
    void unresponsiveMemberStaysIfItsSuccessorDoesNotAnswer() {
        ReconfigurationPlan plan = group("abc", 3).joining("d").unresponsive("c").build();
        assertEquals(members("abc"), plan.nextGroup(joiner -> false));
    }

    /**
     * Members fail one after the other, and each is removed before the next one fails. The expected
     * numbers are those of the table in docs/control-safety.md.
     */
    @ParameterizedTest
    @CsvSource({"3, 1, 1", "4, 1, 2", "5, 2, 2", "6, 2, 3", "8, 2, 5"})
    void groupKeepsAMajorityThroughSuccessiveFailuresDownToMinimumSize(
            int size, int toleratedFailures, int expectedFailures) {
        int minimumSize = 2 * toleratedFailures + 1;
        List<Member> group = new ArrayList<>(members("abcdefgh".substring(0, size)));
        List<Member> live = new ArrayList<>(group);
        int failures = 0;
        while (2 * (live.size() - 1) > group.size()) {
            live.remove(live.size() - 1);
            failures++;
            List<Member> unresponsive = new ArrayList<>(group);
            unresponsive.removeAll(live);
            group =
                    new ReconfigurationPlan(group, Set.of(), unresponsive, Set.of(), minimumSize)
                            .nextGroup();
        }
        assertEquals(expectedFailures, failures);
    }
}
