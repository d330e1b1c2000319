package myrtleladder.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import myrtleladder.protocol.Member;

/**
 * The change of the group that a primary wants: with the nodes that ask to be admitted, without
 * members whose machine has another store now, and without those that are unresponsive or leaving
 * as far as enough members remain. A joiner takes the place of such a member in the same change, so
 * no group has fewer live members than the one before. Immutable if its collections are.
 *
 * @param group the current group
 * @param joining the nodes to admit, in this order
 * @param unresponsive the members to remove first, in this order
 * @param leaving the members to remove next, in this order
 * @param minimumSize the size below which unresponsive and leaving members stay
 */
record ReconfigurationPlan(
        List<Member> group,
        Set<Member> joining,
        Collection<Member> unresponsive,
        Set<Member> leaving,
        int minimumSize) {
    /** Returns a plan that keeps the group as it is. */
    static ReconfigurationPlan unchanged(List<Member> group) {
        return new ReconfigurationPlan(group, Set.of(), List.of(), Set.of(), group.size());
    }

    /** Returns the group that results if all joiners answer. */
    List<Member> nextGroup() {
        return nextGroup(joiner -> true);
    }

    /** Returns the group that results from the change with those joiners that are present. */
    List<Member> nextGroup(Predicate<Member> isPresent) {
        List<Member> next = new ArrayList<>(group);
        for (Member joiner : joining) {
            if (isPresent.test(joiner) && !next.contains(joiner)) {
                next.removeIf(member -> member.address.equals(joiner.address));
                next.add(joiner);
            }
        }
        removeWhileAboveMinimum(next, unresponsive);
        removeWhileAboveMinimum(next, leaving);
        return next;
    }

    private void removeWhileAboveMinimum(List<Member> members, Collection<Member> unwanted) {
        for (Member member : unwanted) {
            if (members.size() > minimumSize) {
                members.remove(member);
            }
        }
    }

    /** Returns whether the plan leads to another group if all joiners answer. */
    boolean isChange() {
        List<Member> next = nextGroup();
        return next.size() != group.size() || !group.containsAll(next);
    }
}
