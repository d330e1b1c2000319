package myrtleladder.replication;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import myrtleladder.protocol.Member;

/**
 * The nodes that asked a primary to be admitted to the group or to be released from it. They repeat
 * their requests; a request that is not repeated expires. Confined to the event loop.
 */
final class MembershipRequests {
    private final Map<Member, Long> joinRequestedAtMs = new LinkedHashMap<>();
    private final Map<Member, Long> leaveRequestedAtMs = new LinkedHashMap<>();

    /** Takes the request of a node to be admitted; one that asked to leave was restarted. */
    void join(Member member, long nowMs) {
        leaveRequestedAtMs.remove(member);
        joinRequestedAtMs.put(member, nowMs);
    }

    /** Drops the join request of a node that does not answer; it may ask again. */
    void withdrawJoin(Member member) {
        joinRequestedAtMs.remove(member);
    }

    /** Takes the request of a member to be released. */
    void leave(Member member, long nowMs) {
        joinRequestedAtMs.remove(member);
        leaveRequestedAtMs.put(member, nowMs);
    }

    /** Drops requests that were not repeated in time. */
    void expire(long nowMs) {
        removeExpired(joinRequestedAtMs, nowMs);
        removeExpired(leaveRequestedAtMs, nowMs);
    }

    private static void removeExpired(Map<Member, Long> requestedAtMs, long nowMs) {
        requestedAtMs
                .values()
                .removeIf(atMs -> nowMs - atMs > ReplicationTiming.MEMBERSHIP_REQUEST_TTL_MS);
    }

    /** Drops all requests. */
    void clear() {
        joinRequestedAtMs.clear();
        leaveRequestedAtMs.clear();
    }

    /** Returns a copy of the nodes that asked to be admitted, in the order of their requests. */
    Set<Member> joining() {
        return new LinkedHashSet<>(joinRequestedAtMs.keySet());
    }

    /** Returns a copy of the members that asked to be released, in the order of their requests. */
    Set<Member> leaving() {
        return new LinkedHashSet<>(leaveRequestedAtMs.keySet());
    }

    /** Returns whether a member asked to be released. */
    boolean isLeaving(Member member) {
        return leaveRequestedAtMs.containsKey(member);
    }
}
