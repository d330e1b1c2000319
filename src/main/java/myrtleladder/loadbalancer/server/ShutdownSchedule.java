package myrtleladder.loadbalancer.server;

/**
 * When a graceful shutdown stops accepting, and when it fails what is still open; both in ms after
 * SIGTERM.
 */
record ShutdownSchedule(long acceptMs, long lastResponseMs) {
    /** Given by the platform: SIGKILL comes this long, and the longest deadline, after SIGTERM. */
    private static final long KILL_DELAY_MS = 700;

    /** Given by the platform: a longer deadline counts as this one. */
    private static final long MAX_DEADLINE_MS = 3_000;

    /** All is answered so long before SIGKILL, since the loop may be late. */
    private static final long KILL_MARGIN_MS = 300;

    /** Accepting ends so long before the last response; few requests take longer. */
    private static final long LAST_REQUESTS_MS = 500;

    /**
     * The same where others serve meanwhile; a shutdown that is late by half of this still loses
     * nothing.
     */
    private static final long LAST_REQUESTS_IN_GROUP_MS = 1_500;

    /** New connections come for up to 0.4 s after SIGTERM, and a little later none waits. */
    private static final long MIN_ACCEPT_MS = 500;

    /**
     * A balancer alone accepts as long as is safe, since each moment not served is lost. With
     * others, requests lost to a late loop cost more than those that the others serve.
     *
     * @param longestDeadlineMs of all classes
     * @param balancers in the group, this one included
     */
    static ShutdownSchedule of(long longestDeadlineMs, double balancers) {
        long lastResponseMs =
                KILL_DELAY_MS + Math.min(MAX_DEADLINE_MS, longestDeadlineMs) - KILL_MARGIN_MS;
        long lastRequestsMs = balancers > 1 ? LAST_REQUESTS_IN_GROUP_MS : LAST_REQUESTS_MS;
        long acceptMs = Math.max(MIN_ACCEPT_MS, lastResponseMs - lastRequestsMs);
        return new ShutdownSchedule(acceptMs, lastResponseMs);
    }
}
