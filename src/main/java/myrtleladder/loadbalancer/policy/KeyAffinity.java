package myrtleladder.loadbalancer.policy;

/**
 * Assigns keys to upstreams by weighted rendezvous hashing among the upstreams that are not
 * ejected, so that every balancer chooses the same one.
 */
final class KeyAffinity {
    /** Weight of upstreams in the balancer's own zone where crossing zones costs. */
    private static final double OWN_ZONE_FACTOR = 4;

    private final boolean isEnabled;
    private final UpstreamTable upstreams;
    private final OutlierEjection ejection;
    private final ZonePreference zones;

    KeyAffinity(
            boolean isEnabled,
            UpstreamTable upstreams,
            OutlierEjection ejection,
            ZonePreference zones) {
        this.isEnabled = isEnabled;
        this.upstreams = upstreams;
        this.ejection = ejection;
        this.zones = zones;
    }

    /** Whether an upstream serves a key with less work if it has served it before. */
    boolean isEnabled() {
        return isEnabled;
    }

    /** The upstream of a request's key; null without a key or if affinity is disabled. */
    UpstreamState upstreamOf(RequestState request, long nowUs) {
        String key = request.request.key();
        if (!isEnabled || key == null) {
            return null;
        }
        UpstreamState best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (UpstreamState upstream : upstreams.ranked()) {
            double score = score(key, upstream);
            if (score > bestScore && !ejection.isEjected(upstream, nowUs)) {
                bestScore = score;
                best = upstream;
            }
        }
        return best;
    }

    /** The logarithmic method of weighted rendezvous hashing, weighted by rating and zone. */
    private double score(String key, UpstreamState upstream) {
        long hash =
                RendezvousHash.combine(key.hashCode(), RendezvousHash.mix(upstream.id.hashCode()));
        double uniform = RendezvousHash.toUnitInterval(hash);
        return -upstream.rating
                / Math.log(uniform)
                * (zones.preference(upstream) > 1 ? OWN_ZONE_FACTOR : 1);
    }
}
