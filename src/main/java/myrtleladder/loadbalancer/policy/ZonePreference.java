package myrtleladder.loadbalancer.policy;

/** Prefers upstreams of the balancer's own zone, depending on the price of crossing zones. */
final class ZonePreference {
    /** Added to the preference for the own zone per point that crossing costs. */
    private static final double PREFERENCE_PER_POINT = 80;

    private final int zone;
    private final double ownZonePreference;

    ZonePreference(Settings settings) {
        this.zone = settings.zone();
        this.ownZonePreference = 1 + PREFERENCE_PER_POINT * settings.prices().crossZone();
    }

    /** The preference for an upstream: 1 in other zones, 1 or more in the own zone. */
    double preference(UpstreamState upstream) {
        return upstream.endpoint.zone() == zone ? ownZonePreference : 1;
    }
}
