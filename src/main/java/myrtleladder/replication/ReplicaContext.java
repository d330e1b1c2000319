package myrtleladder.replication;

import java.util.List;
import java.util.function.Supplier;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.StoredState;
import myrtleladder.protocol.View;
import myrtleladder.scheduler.Scheduler;

/**
 * The state and collaborators that the roles of one replica share, kept across role changes.
 * Confined to the event loop.
 *
 * @param self this node, with its store id
 * @param knownInstances supplies the upstream records that this node currently knows
 * @param memberContacts when members last acknowledged a request from this node
 * @param membershipRequests the join and leave requests that this node received as the primary
 */
record ReplicaContext(
        ReplicaOptions options,
        Member self,
        Scheduler scheduler,
        PeerTransport transport,
        Supplier<List<InstanceRecord>> knownInstances,
        ViewTracker viewTracker,
        PersistentState persistentState,
        ElectionTimer electionTimer,
        MemberContacts memberContacts,
        MembershipRequests membershipRequests,
        UnresponsiveReplicas unresponsiveReplicas) {

    /** Returns the time of the scheduler's clock in milliseconds. */
    long nowMs() {
        return scheduler.now();
    }

    /** Returns the latest view, null if none is known. */
    View view() {
        return viewTracker.view();
    }

    /** Returns the latest state, which may not be durable yet. */
    StoredState storedState() {
        return persistentState.current();
    }

    /** Returns whether a member is this node. */
    boolean isSelf(Member member) {
        return member.equals(self);
    }

    /** Returns whether a member is neither leaving nor unresponsive. */
    boolean isPreferredReplica(Member member) {
        return !membershipRequests.isLeaving(member) && !unresponsiveReplicas.contains(member);
    }
}
