package myrtleladder.controlplane;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;

/** The progress of an upgrade of one service in one zone: counts of instances by stage. */
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

    /** Counts an instance. Its requests in flight only count if it is leaving. */
    void add(InstanceRecord record, int requestsInFlight) {
        if (record.stage == Stage.READY) {
            readyByVersion.merge(record.version, 1, Integer::sum);
            withoutOrdinal += record.ordinal == InstanceRecord.UNASSIGNED_ORDINAL ? 1 : 0;
        }
        lost += record.stage == Stage.LOST ? 1 : 0;
        draining += record.stage == Stage.DRAINING ? 1 : 0;
        inFlight += record.isLeaving() ? requestsInFlight : 0;
    }

    /**
     * Returns whether the upgrade of this zone is finished: no instance is lost or draining, no
     * requests are in flight at leaving instances, and each ready instance has an ordinal.
     */
    boolean isSettled() {
        return draining == 0 && inFlight == 0 && withoutOrdinal == 0 && lost == 0;
    }

    /** Returns the JSON object of the response. */
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
