package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import myrtleladder.protocol.InstanceRecord;

/**
 * The progress of an upgrade in each zone, for the operator who replaces the upstreams. The next
 * zone may be started once the previous ones are settled.
 *
 * @param zones the status of each service in each zone, by service, then by zone
 */
record UpgradeStatus(List<ZoneUpgradeStatus> zones) {
    private static final Comparator<ServiceInZone> BY_SERVICE_AND_ZONE =
            Comparator.comparing(ServiceInZone::service).thenComparing(ServiceInZone::zone);

    /** Identifies the part of the fleet that a {@link ZoneUpgradeStatus} covers. */
    private record ServiceInZone(String service, String zone) {}

    /**
     * Derives the status from the state of the primary.
     *
     * @param records the upstream instances
     * @param inFlight the requests in flight at draining instances, by incarnation
     * @param regionByZone the regions of zones; a zone without one has the region ""
     */
    static UpgradeStatus of(
            Collection<InstanceRecord> records,
            Map<String, Integer> inFlight,
            Map<String, String> regionByZone) {
        Map<ServiceInZone, ZoneUpgradeStatus> zones = new TreeMap<>(BY_SERVICE_AND_ZONE);
        for (InstanceRecord record : records) {
            if (record.service.isEmpty()) {
                continue; // only the departure of this instance is known
            }
            String region = regionByZone.getOrDefault(record.zone, "");
            zones.computeIfAbsent(
                            new ServiceInZone(record.service, record.zone),
                            key -> new ZoneUpgradeStatus(key.service(), key.zone(), region))
                    .add(record, inFlight.getOrDefault(record.id, 0));
        }
        return new UpgradeStatus(new ArrayList<>(zones.values()));
    }

    /** Returns the JSON object of the response. */
    Map<String, Object> toJson() {
        List<Object> list = new ArrayList<>();
        zones.forEach(zone -> list.add(zone.toJson()));
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("settled", zones.stream().allMatch(ZoneUpgradeStatus::isSettled));
        json.put("zones", list);
        return json;
    }
}
