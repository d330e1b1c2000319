package myrtleladder.loadbalancer.server;

/**
 * The times of a graceful shutdown at which the balancer stops accepting connections and at which
 * it fails open requests, both in milliseconds after SIGTERM.
 */
record ShutdownSchedule(long acceptMs, long lastResponseMs) {
    /** Set by the platform: SIGKILL follows SIGTERM after this time plus the longest deadline. */
    private static final long KILL_DELAY_MS = 700;

    /** Set by the platform: maximum deadline that extends the time until SIGKILL. */
    private static final long MAX_DEADLINE_MS = 3_000;

    /** Time between the last response and SIGKILL, since the event loop may lag. */
    private static final long KILL_MARGIN_MS = 300;

    /** Time between the end of accepting and the last response; few requests take longer. */
    private static final long RESPONSE_GRACE_MS = 500;

    /**
     * The same time if other balancers serve meanwhile. A shutdown that lags by half of this still
     * loses no request.
     */
    private static final long RESPONSE_GRACE_IN_GROUP_MS = 1_500;

    /** New connections arrive for up to 0.4 s after SIGTERM; soon after, none is in the backlog. */
    private static final long MIN_ACCEPT_MS = 500;

    /**
     * Computes the schedule. A single balancer accepts for as long as is safe, since nothing else
     * serves its clients. With others in the group it stops earlier: they serve the clients, and a
     * lagging event loop must not lose requests.
     *
     * @param longestDeadlineMs longest deadline of all classes, in milliseconds
     * @param balancers number of balancers in the group, including this one
     */
    static ShutdownSchedule of(long longestDeadlineMs, double balancers) {
        long lastResponseMs =
                KILL_DELAY_MS + Math.min(MAX_DEADLINE_MS, longestDeadlineMs) - KILL_MARGIN_MS;
        long lastRequestsMs = balancers > 1 ? RESPONSE_GRACE_IN_GROUP_MS : RESPONSE_GRACE_MS;
        long acceptMs = Math.max(MIN_ACCEPT_MS, lastResponseMs - lastRequestsMs);
        return new ShutdownSchedule(acceptMs, lastResponseMs);
    }
}
