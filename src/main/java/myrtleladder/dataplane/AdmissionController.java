package myrtleladder.dataplane;

import myrtleladder.configuration.Route;
import myrtleladder.configuration.Service;

/**
 * Admits requests by the time to the first event that is expected at the upstream picked for them.
 * Stateless.
 */
final class AdmissionController {
    /** Shortest wait that clients of model services are thought to accept. */
    private static final long MIN_ACCEPTED_WAIT_MS = 2_000;

    /** Accepted wait as a multiple of the route's latency target. */
    private static final long ACCEPTED_TARGET_LATENCIES = 4;

    /** Accepted wait as a multiple of the route's longest gap between events. */
    private static final long ACCEPTED_EVENT_GAPS = 8;

    /** Share of the accepted wait that requests of the highest priority may use up. */
    private static final double USABLE_SHARE = 0.75;

    /** Reduction of {@link #USABLE_SHARE} for each lower priority. */
    private static final double USABLE_SHARE_PER_PRIORITY = 0.12;

    /** Lower priorities are treated alike from here on. */
    private static final int LOWEST_PRIORITY = 3;

    /** Shortest time after which rejected clients are asked to retry. */
    private static final long MIN_RETRY_AFTER_MS = 200;

    /** Longest time after which rejected clients are asked to retry. */
    private static final long MAX_RETRY_AFTER_MS = 1_500;

    /**
     * Decides on a request.
     *
     * @param remainingMs milliseconds until the request's deadline
     * @return 0 if the request is admitted, else milliseconds after which a retry makes sense
     */
    long retryAfterMs(Route route, Service service, PickResult pick, long remainingMs) {
        double acceptedWaitMs = remainingMs;
        if (service.engine() != null) {
            acceptedWaitMs = Math.min(remainingMs, longestAcceptedWaitMs(route));
        }
        int priority = Math.min(LOWEST_PRIORITY, route.priority());
        double limitMs = acceptedWaitMs * (USABLE_SHARE - USABLE_SHARE_PER_PRIORITY * priority);
        double excessMs = pick.expectedMs() - limitMs;
        if (pick.expectedMs() <= limitMs) {
            return 0;
        }
        return Math.max(MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, Math.round(excessMs)));
    }

    private static long longestAcceptedWaitMs(Route route) {
        long byLatency = ACCEPTED_TARGET_LATENCIES * route.targetLatencyMs();
        long byGap = ACCEPTED_EVENT_GAPS * route.targetEventGapMs();
        return Math.max(MIN_ACCEPTED_WAIT_MS, Math.max(byLatency, byGap));
    }

    /** Milliseconds after which a client retries whose admitted request could not be sent. */
    long defaultRetryAfterMs() {
        return MIN_RETRY_AFTER_MS;
    }
}
