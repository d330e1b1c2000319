package myrtleladder.dataplane;

/**
 * The load that an upstream reports in the header field {@link HeaderNames#UPSTREAM_LOAD} of its
 * responses: running requests, waiting requests and total slots, separated by commas. Confined to
 * the event loop; belongs to one {@link Upstream}.
 */
final class ReportedLoad {
    /** Maximum age of a report. */
    private static final long MAX_AGE_MS = 3_000;

    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    private int peerRequests;
    private int waitingRequests;
    private long updatedAtMs = NEVER_MS;

    /**
     * Replaces the report. An invalid report discards the previous one.
     *
     * @param ownRequests requests of this balancer in flight at the upstream
     */
    void update(String load, int ownRequests, long nowMs) {
        String[] parts = load.split(",");
        try {
            int runningRequests = Integer.parseInt(parts[0].trim());
            waitingRequests = parts.length > 1 ? Integer.parseInt(parts[1].trim()) : 0;
            peerRequests = Math.max(0, runningRequests + waitingRequests - ownRequests);
            updatedAtMs = nowMs;
        } catch (NumberFormatException e) {
            updatedAtMs = NEVER_MS;
        }
    }

    /** Requests of other balancers; the weight falls to one half at the maximum age of a report. */
    double peerRequests(long nowMs) {
        if (!isFresh(nowMs)) {
            return 0;
        }
        long ageMs = nowMs - updatedAtMs;
        return peerRequests * (1 - ageMs / (2.0 * MAX_AGE_MS));
    }

    /** Requests that wait for a slot, 0 without a fresh report. */
    int waitingRequests(long nowMs) {
        return isFresh(nowMs) ? waitingRequests : 0;
    }

    boolean isFresh(long nowMs) {
        return nowMs - updatedAtMs <= MAX_AGE_MS;
    }

    /** Time of the last valid report, far in the past if there is none. */
    long updatedAtMs() {
        return updatedAtMs;
    }
}
