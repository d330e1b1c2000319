package myrtleladder.replication;

/**
 * Polls the current role at a fixed interval and detects that the process was paused, so that the
 * pause is not taken for a failure of other nodes. Confined to the event loop.
 */
final class RolePoller {
    private final ReplicaContext context;
    private final QuorumState quorum;
    private long lastPollMs;

    RolePoller(ReplicaContext context, QuorumState quorum) {
        this.context = context;
        this.quorum = quorum;
    }

    /** Counts the time to the first poll from now on. */
    void initialize() {
        lastPollMs = context.nowMs();
    }

    /** Polls now and from then on at the fixed interval. */
    void poll() {
        long nowMs = context.nowMs();
        context.scheduler().schedule(ReplicationTiming.POLL_INTERVAL_MS, this::poll);
        if (nowMs - lastPollMs > ReplicationTiming.PROCESS_PAUSE_MS) {
            quorum.onProcessPaused(nowMs);
        }
        lastPollMs = nowMs;
        quorum.poll(nowMs);
    }
}
