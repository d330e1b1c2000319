package yewyoke.replication;

/** Times of the replication protocol in milliseconds. */
final class ReplicaTimes {
    static final long TICK = 50;
    static final long HEARTBEAT = 150;
    static final long CALL = 600;
    static final long DISK_PATIENCE = 700;
    static final long REPLICA_SILENT = 800;
    static final long MEMBER_SILENT = 8_000;
    static final long CONFIRMED_FOR = 700;
    static final long FIRST_PATIENCE = 300;
    static final long PATIENCE = 550;
    static final long PATIENCE_BY_RANK = 250;
    static final long GATHER = 100;
    static final long CANDIDACY = 2_000;
    static final long RETRY = 250;
    static final long JOIN = 300;
    static final long SUPPRESSED = 3_000;
    static final long FROZEN = 400;

    private ReplicaTimes() {}
}
