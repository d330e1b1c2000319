package myrtleladder.replication;

/** Intervals and timeouts of the replication protocol, all in milliseconds. */
final class ReplicationTiming {
    /** Interval at which the current role is polled for due work. */
    static final long POLL_INTERVAL_MS = 50;

    /** Interval of a primary's heartbeats to the group. */
    static final long HEARTBEAT_INTERVAL_MS = 150;

    /** Timeout of a request to which the receiver responds from memory or after one save. */
    static final long REQUEST_TIMEOUT_MS = 600;

    /**
     * Timeout of a save, on this node or on a replica to which state is sent. A replica that takes
     * longer is replaced.
     */
    static final long STORAGE_TIMEOUT_MS = 700;

    /** A replica that has acknowledged no request for longer than this is replaced. */
    static final long REPLICA_TIMEOUT_MS = 800;

    /**
     * How long an acknowledgement by a majority confirms a primary, counted from the time at which
     * the request was sent. The bound on stale answers in docs/control-safety.md (section 1) is
     * derived from it.
     */
    static final long CONFIRMATION_VALIDITY_MS = 700;

    /** Election timeout until the first contact with a primary. */
    static final long INITIAL_ELECTION_TIMEOUT_MS = 300;

    /** A member rejects pre-votes for this long after a message from a primary. */
    static final long PRIMARY_CONTACT_VALIDITY_MS = 300;

    /** Election timeout once there has been contact with a primary. */
    static final long ELECTION_TIMEOUT_MS = 550;

    /**
     * Added to the election timeout for each replica that precedes this one in the view, so that
     * replicas do not become candidates at the same time.
     */
    static final long ELECTION_TIMEOUT_PER_RANK_MS = 250;

    /** Added to the election timeout of a member that is leaving. */
    static final long LEAVING_ELECTION_DELAY_MS = 1_000;

    /** Election timeout after an attempt that may succeed if it is repeated. */
    static final long ELECTION_RETRY_TIMEOUT_MS = 250;

    /**
     * Callers are redirected to a primary that sent a message within this time: the election
     * timeout plus one heartbeat interval.
     */
    static final long PRIMARY_REDIRECT_VALIDITY_MS = ELECTION_TIMEOUT_MS + HEARTBEAT_INTERVAL_MS;

    /** A follower without contact for longer than this sends join requests to learn the view. */
    static final long PRIMARY_LOOKUP_TIMEOUT_MS = 1_000;

    /** Interval at which a candidate repeats its pre-vote requests. */
    static final long PRE_VOTE_RETRY_INTERVAL_MS = 150;

    /**
     * How long a candidate with promises from majorities waits for further promises before it
     * chooses the replicas.
     */
    static final long PROMISE_COLLECTION_MS = 100;

    /** Timeout of one attempt to install a view. */
    static final long CANDIDACY_TIMEOUT_MS = 2_000;

    /** A node does not become a candidate for this long after it resigned or a save failed. */
    static final long ELECTION_BACKOFF_MS = 3_000;

    /**
     * A node does not become a candidate for this long after it found a later view of which it is
     * not a replica.
     */
    static final long INELIGIBLE_BACKOFF_MS = 1_500;

    /** How long after a failure a replica is chosen again only if there are too few others. */
    static final long UNRESPONSIVE_REPLICA_TTL_MS = 3_000;

    /** Delay before the store id is saved again after a failed save. */
    static final long STORE_ID_SAVE_RETRY_DELAY_MS = 3_000;

    /** Minimum interval between join requests. */
    static final long JOIN_RETRY_INTERVAL_MS = 300;

    /** Interval between leave requests. */
    static final long LEAVE_RETRY_INTERVAL_MS = 150;

    /**
     * A leaving node that is primary stays so for at least this long, so that other leaving
     * replicas can send their leave requests before it chooses a successor.
     */
    static final long HANDOVER_DELAY_MS = 400;

    /** A join or leave request that is not repeated within this time expires. */
    static final long MEMBERSHIP_REQUEST_TTL_MS = 1_500;

    /** A gap between two polls that is longer than this means that the process was paused. */
    static final long PROCESS_PAUSE_THRESHOLD_MS = 400;

    private ReplicationTiming() {}
}
