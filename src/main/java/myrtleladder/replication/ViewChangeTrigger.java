package myrtleladder.replication;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.View;

/**
 * Decides when a primary starts a view change: when a replica has timed out, when a group change
 * has to be started or completed, or when a leaving replica can be replaced. Confined to the event
 * loop; used by {@link PrimaryState} and {@link ChangeReplicator}.
 */
final class ViewChangeTrigger {
    private final ReplicaContext context;
    private final QuorumState quorum;

    ViewChangeTrigger(ReplicaContext context, QuorumState quorum) {
        this.context = context;
        this.quorum = quorum;
    }

    /**
     * Returns the group change that is to be made now. The plan leaves the group unchanged while
     * the previous group change is incomplete, that is, while the group is not stable.
     */
    ReconfigurationPlan reconfigurationPlan() {
        View view = context.view();
        if (!view.isGroupStable()) {
            return ReconfigurationPlan.unchanged(view.group);
        }
        Set<Member> joining = context.membershipRequests().joining();
        joining.removeIf(view.group::contains);
        return new ReconfigurationPlan(
                view.group,
                joining,
                unresponsiveMembers(view),
                context.membershipRequests().leaving(),
                context.options().minimumGroupSize());
    }

    /**
     * Returns the members without contact for longer than the member timeout, those with the
     * longest time without contact first.
     */
    private List<Member> unresponsiveMembers(View view) {
        long nowMs = context.nowMs();
        long timeoutMs = context.options().memberTimeoutMs();
        MemberContacts contacts = context.memberContacts();
        return view.group.stream()
                .filter(
                        member ->
                                !context.isSelf(member)
                                        && contacts.millisSinceContact(member, nowMs) > timeoutMs)
                .sorted(
                        Comparator.comparingLong(
                                member -> -contacts.millisSinceContact(member, nowMs)))
                .toList();
    }

    /**
     * Starts a view change that replaces the first replica that has timed out, if there is one.
     * Returns whether it started a view change.
     */
    boolean replaceUnresponsiveReplica(long nowMs) {
        for (Member member : context.view().replicas) {
            if (!context.isSelf(member) && exceedsReplicaTimeout(member, nowMs)) {
                context.unresponsiveReplicas().add(member);
                quorum.transitionToCandidate(false, "replica " + member + " timed out");
                return true;
            }
        }
        return false;
    }

    /**
     * Starts a view change if this node is the primary and a group change has to be completed, the
     * group has to change, or a leaving replica can be replaced.
     */
    void changeViewIfDue() {
        if (!quorum.isPrimary()) {
            return;
        }
        View view = context.view();
        if (!view.isGroupStable()) {
            quorum.transitionToCandidate(false, "completing the previous group change");
        } else if (reconfigurationPlan().changesGroup()) {
            quorum.transitionToCandidate(false, "changing the group");
        } else if (canReplaceLeavingReplica(view)) {
            quorum.transitionToCandidate(false, "replacing a leaving replica");
        }
    }

    private boolean canReplaceLeavingReplica(View view) {
        long nowMs = context.nowMs();
        MembershipRequests requests = context.membershipRequests();
        return view.replicas.stream().anyMatch(requests::isLeaving)
                && view.group.stream().anyMatch(member -> canBecomeReplica(member, view, nowMs));
    }

    private boolean canBecomeReplica(Member member, View view, long nowMs) {
        return !view.replicas.contains(member)
                && context.isPreferredReplica(member)
                && !exceedsReplicaTimeout(member, nowMs);
    }

    private boolean exceedsReplicaTimeout(Member member, long nowMs) {
        return context.memberContacts().millisSinceContact(member, nowMs)
                > ReplicationTiming.REPLICA_TIMEOUT_MS;
    }
}
