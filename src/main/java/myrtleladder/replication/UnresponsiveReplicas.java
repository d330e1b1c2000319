package myrtleladder.replication;

import java.util.HashMap;
import java.util.Map;
import myrtleladder.protocol.Member;
import myrtleladder.scheduler.Scheduler;

/**
 * Members that recently failed as replicas. A candidate chooses them again only if there are too
 * few others. Confined to the event loop.
 */
final class UnresponsiveReplicas {
    private final Scheduler scheduler;
    private final Map<Member, Long> unresponsiveUntilMs = new HashMap<>();

    UnresponsiveReplicas(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Records a replica that rejected a request or did not acknowledge it in time. */
    void add(Member member) {
        unresponsiveUntilMs.put(
                member, scheduler.now() + ReplicationTiming.UNRESPONSIVE_REPLICA_TTL_MS);
    }

    /**
     * Returns whether a member failed as a replica within {@link
     * ReplicationTiming#UNRESPONSIVE_REPLICA_TTL_MS}.
     */
    boolean contains(Member member) {
        return unresponsiveUntilMs.getOrDefault(member, 0L) > scheduler.now();
    }
}
