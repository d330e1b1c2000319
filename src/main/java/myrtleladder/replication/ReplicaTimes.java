package myrtleladder.replication;

/** Times of the replication protocol in milliseconds. */
final class ReplicaTimes {
    static final long TICK = 50;
    static final long HEARTBEAT = 150;
    static final long CALL = 600;
    static final long DISK_PATIENCE = 700;
    static final long REPLICA_SILENT = 800;
    static final long CONFIRMED_FOR = 700;
    static final long FIRST_PATIENCE = 300;
    static final long PATIENCE = 550;
    static final long PATIENCE_BY_RANK = 250;
    static final long LEAVING_PATIENCE = 1_000;
    static final long LOOK_ROUND = 1_000;
    static final long TRIAL_AGAIN = 150;
    static final long GATHER = 100;
    static final long CANDIDACY = 2_000;
    static final long RETRY = 250;
    static final long JOIN = 300;
    static final long LEAVE = 150;
    static final long HAND_OVER_AFTER = 400;
    static final long REQUEST_HOLDS = 1_500;
    static final long SUPPRESSED = 3_000;
    static final long NOT_ELIGIBLE = 1_500;
    static final long FROZEN = 400;

    private ReplicaTimes() {}
}
