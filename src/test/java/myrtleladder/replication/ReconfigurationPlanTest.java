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

/** Who belongs to the next group, for each size and number of losses that is served. */
class ReconfigurationPlanTest {
    private static Member member(String name) {
        return Member.of(name + ":1", name + ":2", name);
    }

    private static List<Member> members(String names) {
        return Arrays.stream(names.split(""))
                .filter(n -> !n.isEmpty())
                .map(ReconfigurationPlanTest::member)
                .toList();
    }

    private static Set<Member> set(String names) {
        return new LinkedHashSet<>(members(names));
    }

    private static String next(
            String group, String joining, String silent, String leaving, int least) {
        ReconfigurationPlan plan =
                new ReconfigurationPlan(
                        members(group), set(joining), members(silent), set(leaving), least);
        StringBuilder names = new StringBuilder();
        plan.nextGroup().forEach(m -> names.append(m.store));
        assertEquals(!names.toString().equals(group), plan.isChange());
        return names.toString();
    }

    @Test
    void aJoinerTakesThePlaceOfASilentMemberInTheSameChange() {
        assertEquals("abd", next("abc", "d", "c", "", 3));
        assertEquals("abcfg", next("abcde", "fg", "de", "", 5));
    }

    @Test
    void aJoinerBesideLivingMembersMakesTheGroupLarger() {
        assertEquals("abcd", next("abc", "d", "", "", 3));
    }

    @Test
    void aSilentMemberStaysAsLongAsNoneCanFollowIt() {
        assertEquals("abc", next("abc", "", "c", "", 3));
        assertEquals("abcde", next("abcde", "", "de", "", 5));
    }

    @Test
    void silentAndLeavingMembersGoWhileEnoughRemain() {
        assertEquals("abd", next("abcd", "", "c", "", 3));
        assertEquals("abcde", next("abcdefgh", "", "fgh", "", 5));
        assertEquals("abd", next("abcd", "", "", "c", 3));
        assertEquals("abd", next("abcd", "", "c", "d", 3));
    }

    @Test
    void aLeaverStaysUntilItsSuccessorStands() {
        assertEquals("abc", next("abc", "", "", "c", 3));
        assertEquals("abd", next("abc", "d", "", "c", 3));
    }

    @Test
    void aMachineWithAnotherStoreReplacesItselfWhateverTheSize() {
        Member wiped = Member.of("c:1", "c:2", "C");
        ReconfigurationPlan plan =
                new ReconfigurationPlan(members("abc"), Set.of(wiped), List.of(), Set.of(), 3);
        List<Member> next = plan.nextGroup();
        assertEquals(3, next.size());
        assertTrue(next.contains(wiped));
        assertFalse(next.contains(member("c")));
    }

    @Test
    void aJoinerThatDoesNotAnswerIsLeftOutAndSoIsItsSwap() {
        ReconfigurationPlan plan =
                new ReconfigurationPlan(members("abc"), set("d"), members("c"), Set.of(), 3);
        assertEquals(members("abc"), plan.nextGroup(joiner -> false));
    }

    /**
     * For each size of the core: machines are lost one after the other, each change of the group
     * done before the next. As many remain able to decide as the table in the docs says.
     */
    @Test
    void lossesOneAfterTheOtherLeaveAMajorityDownToTheLeastGroup() {
        int[][] sizesAndLosses = {{3, 1, 1}, {4, 1, 2}, {5, 2, 2}, {6, 2, 3}, {8, 2, 5}};
        for (int[] row : sizesAndLosses) {
            List<Member> group = new ArrayList<>(members("abcdefgh".substring(0, row[0])));
            List<Member> living = new ArrayList<>(group);
            int borne = 0;
            while (2 * (living.size() - 1) > group.size()) {
                living.remove(living.size() - 1);
                borne++;
                List<Member> silent = new ArrayList<>(group);
                silent.removeAll(living);
                group =
                        new ReconfigurationPlan(group, Set.of(), silent, Set.of(), 2 * row[1] + 1)
                                .nextGroup();
            }
            assertEquals(row[2], borne, row[0] + " machines");
        }
    }
}
