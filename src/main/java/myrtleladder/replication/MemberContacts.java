package myrtleladder.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import myrtleladder.protocol.Member;

/**
 * When each member last answered a primary. An answer counts from the moment at which its question
 * was sent, so that one that is read late, after a freeze too, proves nothing about the time since.
 */
final class MemberContacts {
    private final Map<Member, Long> answeredAt = new HashMap<>();
    private final Map<Member, Long> watchedSince = new HashMap<>();

    /** A member answered a question that was sent at the given time. */
    void answered(Member member, long sentAt) {
        answeredAt.merge(member, sentAt, Math::max);
    }

    /** Members whose silence counts from now on, if it does not yet. */
    void watch(Collection<Member> members, long now) {
        watchedSince.keySet().retainAll(members);
        members.forEach(member -> watchedSince.putIfAbsent(member, now));
    }

    /** Forgets all answers: this process stood still, or leads no more. */
    void clear(long now) {
        answeredAt.clear();
        watchedSince.replaceAll((member, since) -> now);
    }

    /** How long a member has been silent. */
    long silence(Member member, long now) {
        long since = watchedSince.getOrDefault(member, now);
        return now - Math.max(since, answeredAt.getOrDefault(member, since));
    }

    /** The members that answered a question sent at the given time or later. */
    List<Member> answeredSince(long time) {
        List<Member> members = new ArrayList<>();
        answeredAt.forEach(
                (member, at) -> {
                    if (at >= time) {
                        members.add(member);
                    }
                });
        return members;
    }
}
