package myrtleladder.dataplane;

/**
 * Load that the other balancers have in flight at an upstream, as last summed by the primary. The
 * weight of the sums falls with their age. Confined to the event loop; belongs to one {@link
 * Upstream}.
 */
final class PeerLoad {
    private int requests;
    private int promptTokens;
    private long updatedAtMs = Long.MIN_VALUE / 2;

    /** Replaces the sums over the other balancers. */
    void update(int totalRequests, int totalPromptTokens, long nowMs) {
        requests = totalRequests;
        promptTokens = totalPromptTokens;
        updatedAtMs = nowMs;
    }

    /** Requests in flight, weighted by the age of the sums. */
    double requests(long nowMs) {
        return requests * ageWeight(nowMs);
    }

    /** Prompt tokens not yet processed, weighted by the age of the sums. */
    double promptTokens(long nowMs) {
        return promptTokens * ageWeight(nowMs);
    }

    /** Falls linearly from 1 to 0 over {@link FleetLoadSync#MAX_LOAD_AGE_MS}. */
    private double ageWeight(long nowMs) {
        return Math.max(0, 1 - (nowMs - updatedAtMs) / (double) FleetLoadSync.MAX_LOAD_AGE_MS);
    }

    boolean isFresh(long nowMs) {
        return nowMs - updatedAtMs <= FleetLoadSync.MAX_LOAD_AGE_MS;
    }

    /** Whether the sums were received after the upstream's own report or at the same time. */
    boolean isNewerThan(ReportedLoad reported) {
        return updatedAtMs >= reported.updatedAtMs();
    }
}
