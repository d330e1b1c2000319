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
    private final Map<Member, Long> joinRequestedAtMs = new LinkedHashMap<>();
    private final Map<Member, Long> leaveRequestedAtMs = new LinkedHashMap<>();

    /**
     * Records a join request. It replaces a leave request from the same node, which must have
     * restarted since.
     */
    void recordJoin(Member member, long nowMs) {
        leaveRequestedAtMs.remove(member);
        joinRequestedAtMs.put(member, nowMs);
    }

    /** Removes the join request of a node that does not respond; it may send another. */
    void withdrawJoin(Member member) {
        joinRequestedAtMs.remove(member);
    }

    /** Records a leave request. It replaces a join request from the same node. */
    void recordLeave(Member member, long nowMs) {
        joinRequestedAtMs.remove(member);
        leaveRequestedAtMs.put(member, nowMs);
    }

    /** Removes requests that are older than {@link ReplicationTiming#MEMBERSHIP_REQUEST_TTL_MS}. */
    void expire(long nowMs) {
        removeExpired(joinRequestedAtMs, nowMs);
        removeExpired(leaveRequestedAtMs, nowMs);
    }

    private static void removeExpired(Map<Member, Long> requestedAtMs, long nowMs) {
        requestedAtMs
                .values()
                .removeIf(atMs -> nowMs - atMs > ReplicationTiming.MEMBERSHIP_REQUEST_TTL_MS);
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

    /** Returns whether a member requested to leave. */
    boolean isLeaving(Member member) {
        return leaveRequestedAtMs.containsKey(member);
    }
}
