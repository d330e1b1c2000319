package myrtleladder.replication;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import myrtleladder.protocol.Member;

/**
 * The join and leave requests that a primary has received. Nodes repeat their requests; a request
 * that is not repeated expires. Confined to the event loop.
 */
final class MembershipRequests {
    /** The time of each node's latest request to join, in the order of the first requests. */
    private final Map<Member, Long> joinRequestedAtMs = new LinkedHashMap<>();

    /** The time of each member's latest request to leave, in the order of the first requests. */
    private final Map<Member, Long> leaveRequestedAtMs = new LinkedHashMap<>();

    /**
     * Records a join request. It replaces a leave request from the same node: a node that joins
     * after it asked to leave has restarted in between.
     */
    void recordJoin(Member member, long nowMs) {
        leaveRequestedAtMs.remove(member);
        joinRequestedAtMs.put(member, nowMs);
    }

    /** Removes the join request of a node that does not respond. The node may request again. */
    void removeJoin(Member member) {
        joinRequestedAtMs.remove(member);
    }

    /** Records a leave request. It replaces a join request from the same node. */
    void recordLeave(Member member, long nowMs) {
        joinRequestedAtMs.remove(member);
        leaveRequestedAtMs.put(member, nowMs);
    }

    /**
     * Removes requests that were not repeated within {@link
     * ReplicationTiming#MEMBERSHIP_REQUEST_TTL_MS}.
     */
    void expire(long nowMs) {
        removeExpired(joinRequestedAtMs, nowMs);
        removeExpired(leaveRequestedAtMs, nowMs);
    }

    private static void removeExpired(Map<Member, Long> requestTimesMs, long nowMs) {
        requestTimesMs
                .values()
                .removeIf(timeMs -> nowMs - timeMs > ReplicationTiming.MEMBERSHIP_REQUEST_TTL_MS);
    }

    /** Removes all requests. */
    void clear() {
        joinRequestedAtMs.clear();
        leaveRequestedAtMs.clear();
    }

    /** Returns a copy of the nodes that requested to join, in the order of their first requests. */
    Set<Member> joining() {
        return new LinkedHashSet<>(joinRequestedAtMs.keySet());
    }

    /**
     * Returns a copy of the members that requested to leave, in the order of their first requests.
     */
    Set<Member> leaving() {
        return new LinkedHashSet<>(leaveRequestedAtMs.keySet());
    }

    /** Returns whether there is a leave request from a member. */
    boolean isLeaving(Member member) {
        return leaveRequestedAtMs.containsKey(member);
    }
}
