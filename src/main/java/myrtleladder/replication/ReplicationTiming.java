package myrtleladder.replication;

/** Intervals and timeouts of the replication protocol, all in milliseconds. */
final class ReplicationTiming {
    /** Interval at which the current role is polled for due work. */
    static final long POLL_INTERVAL_MS = 50;

    /** Interval of a primary's heartbeats to the group. */
    static final long HEARTBEAT_INTERVAL_MS = 150;

    /** Timeout of a request that the receiver answers from memory or after one save. */
    static final long REQUEST_TIMEOUT_MS = 600;

    /**
     * Timeout of a save, here or at a replica that is sent state; a replica that takes longer is
     * replaced.
     */
    static final long STORAGE_TIMEOUT_MS = 700;

    /** A replica that acknowledged nothing for longer than this is replaced. */
    static final long REPLICA_TIMEOUT_MS = 800;

    /**
     * How long the acknowledgement of a majority confirms a primary, counted from the sending of
     * the request; docs/control-safety.md (section 1) derives the bound on stale answers from it.
     */
    static final long CONFIRMATION_VALIDITY_MS = 700;

    /** Election timeout until the first primary was heard. */
    static final long INITIAL_ELECTION_TIMEOUT_MS = 300;

    /** A member rejects pre-votes for this long after it heard a primary. */
    static final long PRIMARY_CONTACT_MS = 300;

    /** Election timeout after a primary was heard. */
    static final long ELECTION_TIMEOUT_MS = 550;

    /**
     * Added to the election timeout for each replica that precedes this one in the view, so that
     * replicas become candidates one after the other.
     */
    static final long ELECTION_TIMEOUT_PER_RANK_MS = 250;

    /** Added to the election timeout of a member that is leaving. */
    static final long LEAVING_ELECTION_DELAY_MS = 1_000;

    /** Election timeout after an attempt that may succeed if it is repeated. */
    static final long ELECTION_RETRY_TIMEOUT_MS = 250;

    /**
     * Callers are redirected to a primary that was heard within this time. The election timeout and
     * one heartbeat.
     */
    static final long PRIMARY_REDIRECT_VALIDITY_MS = ELECTION_TIMEOUT_MS + HEARTBEAT_INTERVAL_MS;

    /** A follower without contact for longer than this asks other nodes for the view. */
    static final long PRIMARY_LOOKUP_TIMEOUT_MS = 1_000;

    /** Interval at which a candidate repeats its pre-vote requests. */
    static final long PRE_VOTE_RETRY_INTERVAL_MS = 150;

    /**
     * How long a candidate that has majorities waits for further promises before it chooses the
     * replicas.
     */
    static final long PROMISE_GATHERING_MS = 100;

    /** Timeout of one attempt to install a view. */
    static final long CANDIDACY_TIMEOUT_MS = 2_000;

    /** No candidacy for this long after a resignation or a failed save. */
    static final long ELECTION_BACKOFF_MS = 3_000;

    /** No candidacy for this long after another member proved to hold later state. */
    static final long INELIGIBLE_BACKOFF_MS = 1_500;

    /** How long a replica that failed to answer is chosen again only if others lack. */
    static final long UNRESPONSIVE_REPLICA_MS = 3_000;

    /** Delay before the identity of this node is written again after a failed save. */
    static final long IDENTITY_SAVE_RETRY_DELAY_MS = 3_000;

    /** Minimum interval between join requests. */
    static final long JOIN_RETRY_INTERVAL_MS = 300;

    /** Interval of leave requests. */
    static final long LEAVE_RETRY_INTERVAL_MS = 150;

    /**
     * A primary that is leaving leads at least this long, so that other leaving replicas have time
     * to announce it before a successor is chosen.
     */
    static final long HANDOVER_DELAY_MS = 400;

    /** A join or leave request that is not repeated within this time is dropped. */
    static final long MEMBERSHIP_REQUEST_TTL_MS = 1_500;

    /** A longer gap between two polls means that the process was paused. */
    static final long PROCESS_PAUSE_MS = 400;

    private ReplicationTiming() {}
}
