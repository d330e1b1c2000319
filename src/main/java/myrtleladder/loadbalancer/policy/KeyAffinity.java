package myrtleladder.loadbalancer.policy;

/**
 * Which upstream a key belongs to: the same at every balancer, by weighted rendezvous hashing among
 * the upstreams that are not ejected.
 */
final class KeyAffinity {
    /** How much likelier a key's upstream is in the own zone where crossing costs. */
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

    /** Whether keys are better served where they were before. */
    boolean isEnabled() {
        return isEnabled;
    }

    /** The upstream of a request's key; null without a key or where affinity is of no use. */
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

    /** The logarithm method of weighted rendezvous hashing, weighted by rating and zone. */
    private double score(String key, UpstreamState upstream) {
        long hash =
                RendezvousHash.combine(key.hashCode(), RendezvousHash.mix(upstream.id.hashCode()));
        double unit = RendezvousHash.toUnitInterval(hash);
        return -upstream.rating
                / Math.log(unit)
                * (zones.factor(upstream) > 1 ? OWN_ZONE_FACTOR : 1);
    }
}
