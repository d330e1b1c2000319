package myrtleladder.dataplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks the versions of the model weights while upstreams are upgraded, so that new requests start
 * on the newest version. During the grace period, an upstream with older weights is still picked if
 * those with the newest version would take clearly longer; afterwards, only if no upstream with the
 * newest version can accept the request.
 *
 * <p>Confined to the event loop.
 */
final class WeightsRollout {
    /**
     * Extra cost of an upstream with older weights, as time. It is a third of the shortest latency
     * target: a request that is delayed by more than that is better served with older weights.
     */
    static final double OLDER_WEIGHTS_COST_MS = 200;

    /** Older weights are avoided this long before the grace period ends; a send takes less time. */
    private static final long GRACE_PERIOD_MARGIN_MS = 200;

    private final long gracePeriodMs;
    private final Map<String, NewestVersion> newestByService = new HashMap<>();

    /** Newest version among the available upstreams of a service and when it was first seen. */
    private record NewestVersion(long version, long sinceMs) {}

    /**
     * Creates an instance that has not seen any versions.
     *
     * @param gracePeriodMs time from the first upstream with a new version after which requests may
     *     not start on older weights, 0 if unlimited
     */
    WeightsRollout(long gracePeriodMs) {
        this.gracePeriodMs = gracePeriodMs;
    }

    /** Updates the newest version from the available upstreams of a service. */
    void observe(String service, List<Upstream> available, long nowMs) {
        long version = newestVersion(available);
        NewestVersion current = newestByService.get(service);
        if (current == null || current.version != version) {
            newestByService.put(service, new NewestVersion(version, nowMs));
        }
    }

    private static long newestVersion(List<Upstream> upstreams) {
        long newest = Long.MIN_VALUE;
        for (Upstream upstream : upstreams) {
            newest = Math.max(newest, upstream.record().weightsVersion);
        }
        return newest;
    }

    /**
     * Filters the candidates for a new request: after the grace period, those with the newest
     * version if there are any; otherwise all.
     */
    List<Upstream> filterCandidates(String service, List<Upstream> candidates, long nowMs) {
        NewestVersion newest = newestByService.get(service);
        boolean gracePeriodOver =
                gracePeriodMs > 0
                        && newest != null
                        && nowMs - newest.sinceMs >= gracePeriodMs - GRACE_PERIOD_MARGIN_MS;
        if (!gracePeriodOver) {
            return candidates;
        }
        List<Upstream> upgraded = new ArrayList<>();
        for (Upstream upstream : candidates) {
            if (upstream.record().weightsVersion == newest.version) {
                upgraded.add(upstream);
            }
        }
        return upgraded.isEmpty() ? candidates : upgraded;
    }

    /** Extra cost of a new request at an upstream due to the version of its weights. */
    double weightsCostMs(Upstream upstream) {
        NewestVersion newest = newestByService.get(upstream.record().service);
        boolean hasOlderWeights =
                newest != null && upstream.record().weightsVersion < newest.version;
        return hasOlderWeights ? OLDER_WEIGHTS_COST_MS : 0;
    }
}
