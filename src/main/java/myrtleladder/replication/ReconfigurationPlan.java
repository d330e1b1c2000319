package myrtleladder.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import myrtleladder.protocol.Member;

/**
 * The group change that a primary wants to make. It adds the nodes that requested to join, removes
 * members whose machine now has another store, and removes unresponsive and leaving members as long
 * as the group stays above its minimum size. A joiner replaces such a member in the same change, so
 * that no group has fewer live members than the previous one. Immutable if its collections are.
 *
 * @param group the current group
 * @param joining the nodes to admit, in this order
 * @param unresponsive the members to remove first, in this order
 * @param leaving the members to remove next, in this order
 * @param minimumSize the group size at which no more unresponsive or leaving members are removed
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

    /** Returns the next group if all joiners respond. */
    List<Member> nextGroup() {
        return nextGroup(joiner -> true);
    }

    /** Returns the next group with only those joiners that the predicate accepts. */
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

    private void removeWhileAboveMinimum(List<Member> members, Collection<Member> membersToRemove) {
        for (Member member : membersToRemove) {
            if (members.size() > minimumSize) {
                members.remove(member);
            }
        }
    }

    /** Returns whether the next group differs from the current one if all joiners respond. */
    boolean changesGroup() {
        List<Member> next = nextGroup();
        return next.size() != group.size() || !group.containsAll(next);
    }
}
