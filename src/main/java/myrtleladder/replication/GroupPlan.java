package myrtleladder.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import myrtleladder.protocol.Member;

/**
 * The next group of members: with those that ask to be admitted, without those whose store is gone,
 * and without those that are silent or leave as far as enough members remain. A joiner takes the
 * place of such a member in the same change, so no group has fewer living members than the one
 * before.
 */
record GroupPlan(
        List<Member> group,
        Set<Member> joining,
        Collection<Member> silent,
        Set<Member> leaving,
        int least) {
    /** A plan that keeps the group as it is. */
    static GroupPlan unchanged(List<Member> group) {
        return new GroupPlan(group, Set.of(), List.of(), Set.of(), group.size());
    }

    /** The group that the plan leads to if all joiners are there. */
    List<Member> next() {
        return next(joiner -> true);
    }

    /** The group that the plan leads to with those joiners that are present. */
    List<Member> next(Predicate<Member> present) {
        List<Member> next = new ArrayList<>(group);
        for (Member joiner : joining) {
            if (present.test(joiner) && !next.contains(joiner)) {
                next.removeIf(member -> member.address.equals(joiner.address));
                next.add(joiner);
            }
        }
        removeWhileEnough(next, silent);
        removeWhileEnough(next, leaving);
        return next;
    }

    private void removeWhileEnough(List<Member> members, Collection<Member> unwanted) {
        for (Member member : unwanted) {
            if (members.size() > least) {
                members.remove(member);
            }
        }
    }

    /** Whether the plan leads to another group. */
    boolean changes() {
        List<Member> next = next();
        return next.size() != group.size() || !group.containsAll(next);
    }
}
