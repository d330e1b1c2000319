package myrtleladder.replication;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import myrtleladder.protocol.Member;

/** Who asks a primary to be admitted to the group or to be let go; requests are repeated. */
final class GroupRequests {
    private final Map<Member, Long> joining = new LinkedHashMap<>();
    private final Map<Member, Long> leaving = new LinkedHashMap<>();

    /** A node asks to be admitted. */
    void join(Member member, long now) {
        leaving.remove(member); // it was started again
        joining.put(member, now);
    }

    /** A node that asked to be admitted does not answer; it may ask again. */
    void absent(Member member) {
        joining.remove(member);
    }

    /** A node was asked to end. */
    void leave(Member member, long now) {
        joining.remove(member);
        leaving.put(member, now);
    }

    /** Forgets requests that were not repeated. */
    void expire(long now) {
        joining.values().removeIf(at -> now - at > ReplicaTimes.REQUEST_HOLDS);
        leaving.values().removeIf(at -> now - at > ReplicaTimes.REQUEST_HOLDS);
    }

    /** Forgets all requests. */
    void clear() {
        joining.clear();
        leaving.clear();
    }

    /** Who asks to be admitted, the first first. */
    Set<Member> joining() {
        return new LinkedHashSet<>(joining.keySet());
    }

    /** Who is about to end. */
    Set<Member> leaving() {
        return new LinkedHashSet<>(leaving.keySet());
    }
}
