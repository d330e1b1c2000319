package myrtleladder.dataplane;

/**
 * The load that an upstream reports in its responses: running, waiting and total slots, separated
 * by commas. Confined to the event loop; belongs to one {@link Upstream}.
 */
final class ReportedLoad {
    /** Age up to which a report is used. */
    private static final long MAX_AGE_MS = 3_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private int peerRequests;
    private int waiting;
    private long updatedAtMs = NEVER;

    /** Takes a report; one that cannot be read ends the last one. */
    void update(String load, int ownRequests, long nowMs) {
        String[] parts = load.split(",");
        try {
            int running = Integer.parseInt(parts[0].trim());
            waiting = parts.length > 1 ? Integer.parseInt(parts[1].trim()) : 0;
            peerRequests = Math.max(0, running + waiting - ownRequests);
            updatedAtMs = nowMs;
        } catch (NumberFormatException e) {
            updatedAtMs = NEVER;
        }
    }

    /** Requests beyond this balancer's own; they count less the older the report is. */
    double peerRequests(long nowMs) {
        if (!isFresh(nowMs)) {
            return 0;
        }
        long ageMs = nowMs - updatedAtMs;
        return peerRequests * (1 - ageMs / (2.0 * MAX_AGE_MS));
    }

    int waiting(long nowMs) {
        return isFresh(nowMs) ? waiting : 0;
    }

    boolean isFresh(long nowMs) {
        return nowMs - updatedAtMs <= MAX_AGE_MS;
    }

    long updatedAtMs() {
        return updatedAtMs;
    }
}
