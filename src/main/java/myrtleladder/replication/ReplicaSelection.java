package myrtleladder.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import myrtleladder.protocol.Member;

/**
 * Chooses the replicas of a candidate's view: this node, then members of the group that promised
 * the candidate's epoch. Preferred members, those that are neither leaving nor unresponsive, come
 * first, and among them the replicas of the base view. Other members are chosen only if there are
 * too few preferred ones.
 */
final class ReplicaSelection {
    private final ReplicaContext context;
    private final Set<Member> promisedMembers;

    ReplicaSelection(ReplicaContext context, Set<Member> promisedMembers) {
        this.context = context;
        this.promisedMembers = promisedMembers;
    }

    /**
     * Returns the replicas, with this node first, or empty if too few group members promised.
     *
     * @param baseReplicas the replicas of the base view
     * @param group the group of the new view
     */
    Optional<List<Member>> select(List<Member> baseReplicas, List<Member> group) {
        List<Member> replicas = new ArrayList<>();
        replicas.add(context.self());
        for (Member member : baseReplicas) {
            addIfEligible(replicas, member, group, true);
        }
        for (Member member : group) {
            addIfEligible(replicas, member, group, true);
        }
        for (Member member : group) {
            addIfEligible(replicas, member, group, false);
        }
        int count = Math.min(context.options().replicaCount(), group.size());
        if (replicas.size() < count) {
            return Optional.empty();
        }
        return Optional.of(replicas.subList(0, count));
    }

    private void addIfEligible(
            List<Member> replicas, Member member, List<Member> group, boolean preferredOnly) {
        boolean eligible =
                promisedMembers.contains(member)
                        && group.contains(member)
                        && (!preferredOnly || context.isPreferredReplica(member));
        if (eligible && !replicas.contains(member)) {
            replicas.add(member);
        }
    }
}
