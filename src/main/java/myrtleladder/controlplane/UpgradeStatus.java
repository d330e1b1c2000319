package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;

/**
 * How far an upgrade has come in each zone, for whoever replaces the upstreams: the next zone may
 * be begun once the ones before it are settled.
 */
final class UpgradeStatus {
    private UpgradeStatus() {}

    /** The upstreams of a service in a zone. */
    static final class ZoneStatus {
        final String service;
        final String zone;
        final String region;
        final Map<String, Integer> ready = new TreeMap<>();
        int lost;
        int draining;
        int withoutOrdinal;
        int underWay;

        private ZoneStatus(String service, String zone, String region) {
            this.service = service;
            this.zone = zone;
            this.region = region;
        }

        /** Whether nothing is left to wait for: nobody leaves, and each one's place is known. */
        boolean settled() {
            return draining == 0 && underWay == 0 && withoutOrdinal == 0 && lost == 0;
        }

        private void add(InstanceRecord record, int requests) {
            if (record.stage == Stage.READY) {
                ready.merge(record.version, 1, Integer::sum);
            }
            lost += record.stage == Stage.LOST ? 1 : 0;
            draining += record.stage == Stage.DRAINING ? 1 : 0;
            boolean unplaced = record.ordinal == InstanceRecord.UNASSIGNED_ORDINAL;
            withoutOrdinal += record.stage == Stage.READY && unplaced ? 1 : 0;
            underWay += record.isLeaving() ? requests : 0;
        }

        private Map<String, Object> tree() {
            Map<String, Object> tree = new LinkedHashMap<>();
            tree.put("service", service);
            tree.put("zone", zone);
            tree.put("region", region);
            tree.put("ready", new LinkedHashMap<String, Object>(ready));
            tree.put("lost", lost);
            tree.put("draining", draining);
            tree.put("without_ordinal", withoutOrdinal);
            tree.put("under_way", underWay);
            tree.put("settled", settled());
            return tree;
        }
    }

    /** The status of each zone; {@code underWay} counts requests by incarnation. */
    static List<ZoneStatus> of(
            Collection<InstanceRecord> records,
            Map<String, Integer> underWay,
            Map<String, String> regionOfZone) {
        Map<List<String>, ZoneStatus> zones = new TreeMap<>(UpgradeStatus::compare);
        for (InstanceRecord record : records) {
            if (record.service.isEmpty()) {
                continue; // only its departure is known
            }
            ZoneStatus status =
                    zones.computeIfAbsent(
                            List.of(record.service, record.zone),
                            key ->
                                    new ZoneStatus(
                                            record.service,
                                            record.zone,
                                            regionOfZone.getOrDefault(record.zone, "")));
            status.add(record, underWay.getOrDefault(record.id, 0));
        }
        return new ArrayList<>(zones.values());
    }

    private static int compare(List<String> a, List<String> b) {
        int byService = a.get(0).compareTo(b.get(0));
        return byService != 0 ? byService : a.get(1).compareTo(b.get(1));
    }

    /** The document that operators read. */
    static Map<String, Object> document(List<ZoneStatus> zones) {
        List<Object> list = new ArrayList<>();
        zones.forEach(zone -> list.add(zone.tree()));
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("settled", zones.stream().allMatch(ZoneStatus::settled));
        document.put("zones", list);
        return document;
    }
}
