package myrtleladder.replication;

import java.util.HashMap;
import java.util.Map;
import myrtleladder.protocol.Member;
import myrtleladder.scheduler.Scheduler;

/**
 * Members that failed as replicas a short while ago. A candidate chooses them again only if there
 * are not enough others. Confined to the event loop.
 */
final class UnresponsiveReplicas {
    private final Scheduler scheduler;
    private final Map<Member, Long> untilMs = new HashMap<>();

    UnresponsiveReplicas(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Takes note of a replica that did not acknowledge in time. */
    void add(Member member) {
        untilMs.put(member, scheduler.now() + ReplicationTiming.UNRESPONSIVE_REPLICA_MS);
    }

    /** Returns whether a member failed as a replica a short while ago. */
    boolean contains(Member member) {
        return untilMs.getOrDefault(member, 0L) > scheduler.now();
    }
}
