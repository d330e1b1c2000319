package myrtleladder.dataplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Follows the versions of the model weights while upstreams are upgraded, so that new requests
 * begin on the newest. As long as few upstreams have it, older ones are picked too where the newest
 * would take clearly longer; once the bound of the deployment has passed, only if no upstream with
 * the newest can take a request.
 *
 * <p>Confined to the event loop.
 */
final class WeightsRollout {
    /**
     * What a request costs more on older weights, as time; a request that is late by a third of the
     * shortest latency target is worth less than one on older weights.
     */
    static final double OLDER_WEIGHTS_COST_MS = 200;

    /** How long before the bound older weights are avoided already; a send takes less. */
    private static final long BOUND_MARGIN_MS = 200;

    private final long boundMs;
    private final Map<String, Newest> newestByService = new HashMap<>();

    /** The newest version that ready upstreams of a service have, and since when it is known. */
    private record Newest(long version, long sinceMs) {}

    /**
     * Creates it.
     *
     * @param boundMs time after which requests may not begin on older weights, 0 if there is none
     */
    WeightsRollout(long boundMs) {
        this.boundMs = boundMs;
    }

    /** Takes the upstreams of a service that are available now. */
    void observe(String service, List<Upstream> available, long nowMs) {
        long version = newestVersion(available);
        Newest known = newestByService.get(service);
        if (known == null || known.version != version) {
            newestByService.put(service, new Newest(version, nowMs));
        }
    }

    private static long newestVersion(List<Upstream> upstreams) {
        long newest = Long.MIN_VALUE;
        for (Upstream upstream : upstreams) {
            newest = Math.max(newest, upstream.record().weightsVersion);
        }
        return newest;
    }

    /** The candidates for a new request: without older weights once the bound has passed. */
    List<Upstream> withoutExpired(String service, List<Upstream> candidates, long nowMs) {
        Newest newest = newestByService.get(service);
        boolean expired =
                boundMs > 0
                        && newest != null
                        && nowMs - newest.sinceMs >= boundMs - BOUND_MARGIN_MS;
        if (!expired) {
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

    /** What a new request costs at an upstream for its weights, in ms. */
    double costMs(Upstream upstream) {
        Newest newest = newestByService.get(upstream.record().service);
        boolean older = newest != null && upstream.record().weightsVersion < newest.version;
        return older ? OLDER_WEIGHTS_COST_MS : 0;
    }
}
