package myrtleladder.dataplane;

import myrtleladder.configuration.Service;

/**
 * Settings of the limit on requests to cold upstreams.
 *
 * @param balancerName name of this balancer
 * @param overageFactor factor applied to a service's {@code warmup_per_s}
 * @param slackPerSecond requests per second allowed in addition
 * @param heartbeatMs interval between heartbeats of an upstream
 */
record WarmupSettings(
        String balancerName, double overageFactor, double slackPerSecond, long heartbeatMs) {
    /** Value of {@link #allowancePerSecond} for services without a limit. */
    static final int UNLIMITED = -1;

    /** Two lists of balancers may be in use at the same time, each with half of the limit. */
    private static final int MAX_CONCURRENT_LISTS = 2;

    /** Heartbeat intervals within which the primary reports an upstream that is down. */
    private static final int REPORT_HEARTBEAT_INTERVALS = 4;

    /** Delay of a report from the primary to a balancer. */
    private static final long REPORT_DELAY_MS = 200;

    /**
     * Requests per second that all balancers of one list together may send to a cold upstream of a
     * service; {@link #UNLIMITED} if the service is unknown (null) or has no limit.
     */
    int allowancePerSecond(Service service) {
        if (service == null || service.warmupRequestsPerSecond() <= 0) {
            return UNLIMITED;
        }
        return (int)
                ((service.warmupRequestsPerSecond() * overageFactor + slackPerSecond)
                        / MAX_CONCURRENT_LISTS);
    }

    /** Time after a failure within which the primary reports the upstream if it is down. */
    long confirmationDelayMs() {
        return REPORT_HEARTBEAT_INTERVALS * heartbeatMs + REPORT_DELAY_MS;
    }
}
