package myrtleladder.replication;

import java.util.List;
import java.util.function.Supplier;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.StoredState;
import myrtleladder.protocol.View;
import myrtleladder.scheduler.Scheduler;

/**
 * What the roles of one replica share; it outlives every change of the role. Confined to the event
 * loop.
 *
 * @param self this node, with the identity of its store
 * @param instances the upstreams that this node knows now
 * @param contacts when members last acknowledged a request of this node
 * @param membershipRequests who asked this node, as the primary, to join or to leave
 */
record ReplicaContext(
        ReplicaOptions options,
        Member self,
        Scheduler scheduler,
        Peers peers,
        Supplier<List<InstanceRecord>> instances,
        ViewTracker views,
        PersistentState persistentState,
        ElectionTimer electionTimer,
        MemberContacts contacts,
        MembershipRequests membershipRequests,
        UnresponsiveReplicas unresponsiveReplicas) {

    /** Returns the time of the scheduler's clock in milliseconds. */
    long nowMs() {
        return scheduler.now();
    }

    /** Returns the latest view, null if none is known. */
    View view() {
        return views.view();
    }

    /** Returns the newest state, which may not be durable yet. */
    StoredState storedState() {
        return persistentState.current();
    }

    /** Returns whether a member is this node. */
    boolean isSelf(Member member) {
        return member.equals(self);
    }

    /**
     * Returns whether a member is neither leaving nor unresponsive, so a good choice of replica.
     */
    boolean isPreferredReplica(Member member) {
        return !membershipRequests.isLeaving(member) && !unresponsiveReplicas.contains(member);
    }
}
