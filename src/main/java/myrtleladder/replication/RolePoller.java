package myrtleladder.replication;

/**
 * Polls the current role at a fixed interval and detects pauses of the process, so that a pause is
 * not mistaken for a failure of other nodes. Confined to the event loop.
 */
final class RolePoller {
    private final ReplicaContext context;
    private final QuorumState quorum;
    private long lastPollMs;

    RolePoller(ReplicaContext context, QuorumState quorum) {
        this.context = context;
        this.quorum = quorum;
    }

    /** Sets the start of the interval before the first poll, for the detection of pauses. */
    void initialize() {
        lastPollMs = context.nowMs();
    }

    /** Polls now and schedules the next poll. */
    void poll() {
        long nowMs = context.nowMs();
        context.scheduler().schedule(ReplicationTiming.POLL_INTERVAL_MS, this::poll);
        if (nowMs - lastPollMs > ReplicationTiming.PROCESS_PAUSE_THRESHOLD_MS) {
            quorum.onProcessPaused(nowMs);
        }
        lastPollMs = nowMs;
        quorum.poll(nowMs);
    }
}
