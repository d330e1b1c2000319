package myrtleladder.loadbalancer.policy;

/** Prefers upstreams of the own zone by what crossing to another one costs. */
final class ZonePreference {
    /** Preference of the own zone for each point that crossing costs. */
    private static final double PREFERENCE_PER_POINT = 80;

    private final int zone;
    private final double ownZoneFactor;

    ZonePreference(Settings settings) {
        this.zone = settings.zone();
        this.ownZoneFactor = 1 + PREFERENCE_PER_POINT * settings.prices().crossZone();
    }

    /** A factor on the weight: 1 in other zones, 1 or more in the own. */
    double factor(UpstreamState upstream) {
        return upstream.endpoint.zone() == zone ? ownZoneFactor : 1;
    }
}
