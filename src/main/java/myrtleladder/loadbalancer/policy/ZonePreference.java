package myrtleladder.loadbalancer.policy;

/**
 * A factor by which upstreams of the balancer's own zone are preferred; it rises with the price of
 * sending a request to another zone.
 */
final class ZonePreference {
    /** Increase of the own zone's factor for each point of the cross-zone price. */
    private static final double PREFERENCE_PER_POINT = 80;

    private final int zone;
    private final double ownZonePreference;

    ZonePreference(Settings settings) {
        this.zone = settings.zone();
        this.ownZonePreference = 1 + PREFERENCE_PER_POINT * settings.prices().crossZone();
    }

    /** The factor for an upstream: 1 in other zones, at least 1 in the own zone. */
    double preference(UpstreamState upstream) {
        return upstream.endpoint.zone() == zone ? ownZonePreference : 1;
    }
}
