package myrtleladder.dataplane;

import myrtleladder.configuration.Route;
import myrtleladder.configuration.Service;

/**
 * Rejects requests whose expected time to the first event at the picked upstream is too long.
 * Stateless.
 */
final class AdmissionController {
    /** Lower bound of the wait limit for model services. */
    private static final long MIN_WAIT_LIMIT_MS = 2_000;

    /** Wait limit for model services as a multiple of the route's latency target. */
    private static final long WAIT_LIMIT_TARGET_LATENCIES = 4;

    /** Wait limit for model services as a multiple of the route's target gap between events. */
    private static final long WAIT_LIMIT_EVENT_GAPS = 8;

    /** Fraction of the wait limit up to which requests of the highest priority are admitted. */
    private static final double HIGHEST_PRIORITY_FRACTION = 0.75;

    /** Reduction of {@link #HIGHEST_PRIORITY_FRACTION} for each step down in priority. */
    private static final double FRACTION_STEP_PER_PRIORITY = 0.12;

    /** The last priority with a fraction of its own; higher numbers are treated the same. */
    private static final int LOWEST_PRIORITY = 3;

    /** Lower bound of the retry delay given to rejected clients. */
    private static final long MIN_RETRY_AFTER_MS = 200;

    /** Upper bound of the retry delay given to rejected clients. */
    private static final long MAX_RETRY_AFTER_MS = 1_500;

    /**
     * Decides whether a request is admitted. For services without a model engine, only the
     * request's deadline limits the wait.
     *
     * @param remainingMs milliseconds until the request's deadline
     * @return 0 if the request is admitted, otherwise the retry delay in milliseconds
     */
    long retryAfterMs(Route route, Service service, PickResult pick, long remainingMs) {
        double waitLimitMs = remainingMs;
        if (service.engine() != null) {
            waitLimitMs = Math.min(remainingMs, modelWaitLimitMs(route));
        }
        int priority = Math.min(LOWEST_PRIORITY, route.priority());
        double admissionLimitMs =
                waitLimitMs * (HIGHEST_PRIORITY_FRACTION - FRACTION_STEP_PER_PRIORITY * priority);
        double excessMs = pick.expectedMs() - admissionLimitMs;
        if (pick.expectedMs() <= admissionLimitMs) {
            return 0;
        }
        return Math.max(MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, Math.round(excessMs)));
    }

    /** Longest wait that clients of a model service are assumed to accept. */
    private static long modelWaitLimitMs(Route route) {
        long byLatency = WAIT_LIMIT_TARGET_LATENCIES * route.targetLatencyMs();
        long byGap = WAIT_LIMIT_EVENT_GAPS * route.targetEventGapMs();
        return Math.max(MIN_WAIT_LIMIT_MS, Math.max(byLatency, byGap));
    }

    /** Retry delay for a client whose request was admitted but could not be sent. */
    long defaultRetryAfterMs() {
        return MIN_RETRY_AFTER_MS;
    }
}
