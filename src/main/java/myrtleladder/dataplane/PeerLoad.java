package myrtleladder.dataplane;

/**
 * What the other balancers have in flight at an upstream, by the sums that the primary sends. They
 * count less the older they are. Confined to the event loop; belongs to one {@link Upstream}.
 */
final class PeerLoad {
    private int requests;
    private int promptTokens;
    private long updatedAtMs = Long.MIN_VALUE / 2;

    void update(int sumOfRequests, int sumOfPromptTokens, long nowMs) {
        requests = sumOfRequests;
        promptTokens = sumOfPromptTokens;
        updatedAtMs = nowMs;
    }

    double requests(long nowMs) {
        return requests * remainingShare(nowMs);
    }

    double promptTokens(long nowMs) {
        return promptTokens * remainingShare(nowMs);
    }

    /** Falls from 1 to 0 while the sums age. */
    private double remainingShare(long nowMs) {
        return Math.max(0, 1 - (nowMs - updatedAtMs) / (double) FleetLoadSync.MAX_LOAD_AGE_MS);
    }

    boolean isFresh(long nowMs) {
        return nowMs - updatedAtMs <= FleetLoadSync.MAX_LOAD_AGE_MS;
    }

    /** Whether the sums came after the upstream's own report or with it. */
    boolean isNewerThan(ReportedLoad reported) {
        return updatedAtMs >= reported.updatedAtMs();
    }
}
