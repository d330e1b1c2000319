package myrtleladder.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import myrtleladder.protocol.Member;

/**
 * Chooses the replicas of a candidate's view among the members that promised: first this node, then
 * preferred replicas of the base view, then other preferred members of the group. Members that are
 * leaving or unresponsive are chosen only if the others are too few.
 */
final class ReplicaSelection {
    private final ReplicaContext context;
    private final Set<Member> promisedMembers;

    ReplicaSelection(ReplicaContext context, Set<Member> promisedMembers) {
        this.context = context;
        this.promisedMembers = promisedMembers;
    }

    /**
     * Returns the replicas, with this node first; empty if too few members promised.
     *
     * @param baseReplicas the replicas of the base view
     * @param group the group of the new view
     */
    Optional<List<Member>> select(List<Member> baseReplicas, List<Member> group) {
        List<Member> replicas = new ArrayList<>();
        replicas.add(context.self());
        for (Member member : baseReplicas) {
            addIfEligible(replicas, member, group, false);
        }
        for (Member member : group) {
            addIfEligible(replicas, member, group, false);
        }
        for (Member member : group) {
            addIfEligible(replicas, member, group, true);
        }
        int count = Math.min(context.options().replicaCount(), group.size());
        if (replicas.size() < count) {
            return Optional.empty();
        }
        return Optional.of(replicas.subList(0, count));
    }

    private void addIfEligible(
            List<Member> replicas, Member member, List<Member> group, boolean allowNonPreferred) {
        boolean eligible =
                promisedMembers.contains(member)
                        && group.contains(member)
                        && (allowNonPreferred || context.isPreferredReplica(member));
        if (eligible && !replicas.contains(member)) {
            replicas.add(member);
        }
    }
}
