package myrtleladder.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.protocol.Member;

/**
 * Records when each member last acknowledged a request from this node.
 *
 * <p>Invariant: an acknowledgement is dated by the time at which its request was sent. One that is
 * read late, for example after the process was paused, is not evidence of later contact. Confined
 * to the event loop.
 */
final class MemberContacts {
    private final Map<Member, Long> acknowledgedAtMs = new HashMap<>();
    private final Map<Member, Long> trackedSinceMs = new HashMap<>();

    /** Records the acknowledgement of a request that was sent at the given time. */
    void onAcknowledged(Member member, long sentAtMs) {
        acknowledgedAtMs.merge(member, sentAtMs, Math::max);
    }

    /**
     * Tracks exactly these members. Members that were not tracked before count as in contact at the
     * given time.
     */
    void track(Collection<Member> members, long nowMs) {
        trackedSinceMs.keySet().retainAll(members);
        members.forEach(member -> trackedSinceMs.putIfAbsent(member, nowMs));
    }

    /** Discards all acknowledgements. Tracked members count as in contact at the given time. */
    void clear(long nowMs) {
        acknowledgedAtMs.clear();
        trackedSinceMs.replaceAll((member, sinceMs) -> nowMs);
    }

    /** Returns the milliseconds since the last contact with a member, 0 if it is not tracked. */
    long millisSinceContact(Member member, long nowMs) {
        long sinceMs = trackedSinceMs.getOrDefault(member, nowMs);
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
