package myrtleladder.controlplane;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;

/** Counts the instances of a service in a zone by what an upgrade still waits for. */
final class ZoneUpgradeStatus {
    private final String service;
    private final String zone;
    private final String region;
    private final Map<String, Integer> readyByVersion = new TreeMap<>();
    private int lost;
    private int draining;
    private int withoutOrdinal;
    private int inFlight;

    ZoneUpgradeStatus(String service, String zone, String region) {
        this.service = service;
        this.zone = zone;
        this.region = region;
    }

    /** Adds an instance and the requests in flight at it, which count only if it is leaving. */
    void add(InstanceRecord record, int requestsInFlight) {
        if (record.stage == Stage.READY) {
            readyByVersion.merge(record.version, 1, Integer::sum);
            withoutOrdinal += record.ordinal == InstanceRecord.UNASSIGNED_ORDINAL ? 1 : 0;
        }
        lost += record.stage == Stage.LOST ? 1 : 0;
        draining += record.stage == Stage.DRAINING ? 1 : 0;
        inFlight += record.isLeaving() ? requestsInFlight : 0;
    }

    /** Whether the upgrade has nothing to wait for: no instance leaves, each has its ordinal. */
    boolean isSettled() {
        return draining == 0 && inFlight == 0 && withoutOrdinal == 0 && lost == 0;
    }

    /** The JSON object that operators read. */
    Map<String, Object> toJson() {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("service", service);
        json.put("zone", zone);
        json.put("region", region);
        json.put("ready", new LinkedHashMap<String, Object>(readyByVersion));
        json.put("lost", lost);
        json.put("draining", draining);
        json.put("without_ordinal", withoutOrdinal);
        json.put("under_way", inFlight);
        json.put("settled", isSettled());
        return json;
    }
}
