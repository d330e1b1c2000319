package myrtleladder.dataplane;

import myrtleladder.configuration.Service;

/**
 * What limits the requests to cold upstreams.
 *
 * @param balancer name of this balancer
 * @param overage factor of a service's {@code warmup_per_s}
 * @param slack requests a second beyond that
 * @param heartbeatMs interval of the upstreams' heartbeats
 */
record WarmupSettings(String balancer, double overage, double slack, long heartbeatMs) {
    /** Value of {@link #allowance} for services without a limit. */
    static final int UNLIMITED = -1;

    /** Two lists of balancers may be in use at a time, each with half of what is allowed. */
    private static final int LISTS_IN_USE = 2;

    /** Heartbeat intervals in which the primary has reported an upstream that was down. */
    private static final int INTERVALS_UNTIL_REPORTED = 4;

    /** The time that a report takes from the primary to a balancer. */
    private static final long REPORT_DELAY_MS = 200;

    /**
     * Requests a second that the balancers of one list may send to a cold upstream of a service,
     * {@link #UNLIMITED} if the service is unknown (null) or has no limit.
     */
    int allowance(Service service) {
        if (service == null || service.warmupRequestsPerSecond() <= 0) {
            return UNLIMITED;
        }
        return (int) ((service.warmupRequestsPerSecond() * overage + slack) / LISTS_IN_USE);
    }

    /** The time from a failure until the primary has reported if the upstream was down, in ms. */
    long confirmationMs() {
        return INTERVALS_UNTIL_REPORTED * heartbeatMs + REPORT_DELAY_MS;
    }
}
