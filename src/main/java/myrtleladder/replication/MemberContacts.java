package myrtleladder.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.protocol.Member;

/**
 * When each member last acknowledged a request of this node.
 *
 * <p>Invariant: an acknowledgement counts from the sending of its request, so one that is read
 * late, even after the process was paused, proves nothing about the time since. Confined to the
 * event loop.
 */
final class MemberContacts {
    private final Map<Member, Long> acknowledgedAtMs = new HashMap<>();
    private final Map<Member, Long> watchedSinceMs = new HashMap<>();

    /** Takes the acknowledgement of a request that was sent at the given time. */
    void onAcknowledged(Member member, long sentAtMs) {
        acknowledgedAtMs.merge(member, sentAtMs, Math::max);
    }

    /** Watches these members and no others, each from now on unless it is watched already. */
    void watch(Collection<Member> members, long nowMs) {
        watchedSinceMs.keySet().retainAll(members);
        members.forEach(member -> watchedSinceMs.putIfAbsent(member, nowMs));
    }

    /** Drops all acknowledgements; watched members are watched from now on. */
    void clear(long nowMs) {
        acknowledgedAtMs.clear();
        watchedSinceMs.replaceAll((member, sinceMs) -> nowMs);
    }

    /** Returns the time since a member was last in contact, 0 if it is not watched. */
    long millisSinceContact(Member member, long nowMs) {
        long sinceMs = watchedSinceMs.getOrDefault(member, nowMs);
        return nowMs - Math.max(sinceMs, acknowledgedAtMs.getOrDefault(member, sinceMs));
    }

    /** Returns the members that acknowledged a request sent at the given time or later. */
    List<Member> acknowledgedSince(long timeMs) {
        List<Member> members = new ArrayList<>();
        acknowledgedAtMs.forEach(
                (member, atMs) -> {
                    if (atMs >= timeMs) {
                        members.add(member);
                    }
                });
        return members;
    }
}
