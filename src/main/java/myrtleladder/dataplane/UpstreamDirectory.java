package myrtleladder.dataplane;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.Service;
import myrtleladder.protocol.CachedPrompt;
import myrtleladder.protocol.InFlightRequests;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import myrtleladder.protocol.UpstreamLoad;
import myrtleladder.scheduler.Scheduler;

/**
 * The upstreams that this balancer knows, by service. An incarnation that drains or is gone never
 * comes back; those of a drained zone take requests again once the zone is taken back. Confined to
 * the event loop.
 */
final class UpstreamDirectory {
    /** Incarnations remembered as left; all are forgotten when there are more. */
    private static final int MAX_REMEMBERED_LEFT = 5_000;

    private final Map<String, Upstream> byId = new LinkedHashMap<>();
    private final Map<String, List<Upstream>> availableByService = new HashMap<>();
    private final Set<String> leftIds = new HashSet<>();
    private final Set<Upstream> leavingUpstreams = new LinkedHashSet<>();
    private List<String> drainedZones = List.of();
    private final Consumer<Upstream> onLeft;
    private final WarmupContext warmupContext;
    private final Scheduler scheduler;
    private Configuration configuration;

    /** Creates a directory; {@code onLeft} receives upstreams that take no more requests. */
    UpstreamDirectory(Consumer<Upstream> onLeft, WarmupContext warmupContext, Scheduler scheduler) {
        this.onLeft = onLeft;
        this.warmupContext = warmupContext;
        this.scheduler = scheduler;
    }

    /** Takes the engines of services that were not configured before, and limits of warm-ups. */
    void applyConfiguration(Configuration next) {
        configuration = next;
        byId.values().forEach(this::applyService);
    }

    private void applyService(Upstream upstream) {
        String name = upstream.record().service;
        Service service = configuration == null ? null : configuration.service(name);
        if (service != null && !upstream.hasEngine()) {
            upstream.setEngine(service.engine());
        }
        upstream.warmup().setAllowance(warmupContext.allowance(service));
    }

    /** Takes a new list of balancers, among which budgets of cold upstreams are divided. */
    void balancersChanged() {
        long sinceMs = warmupContext.ownership().changedAtMs();
        byId.values().forEach(upstream -> upstream.warmup().updateOwnership(sinceMs));
    }

    /** Takes the upstreams of a zone that was evacuated for cold until the primary denies it. */
    private void zoneReturned(String zone) {
        for (Upstream upstream : byId.values()) {
            if (upstream.record().zone.equals(zone)) {
                upstream.warmup().markUnconfirmed(scheduler.now());
            }
        }
    }

    /**
     * Takes records from the control plane.
     *
     * @param complete whether these are all, so that upstreams without a record are gone
     */
    void applyRecords(Collection<InstanceRecord> records, boolean complete) {
        if (records.isEmpty() && !complete) {
            return; // most poll responses carry no upstreams
        }
        Set<String> ids = new HashSet<>();
        for (InstanceRecord record : records) {
            ids.add(record.id);
            applyRecord(record);
        }
        if (complete) {
            for (Upstream upstream : new ArrayList<>(byId.values())) {
                if (!ids.contains(upstream.record().id)) {
                    remove(upstream, Stage.GONE);
                }
            }
        }
        updateAvailable();
    }

    private void applyRecord(InstanceRecord record) {
        if (leftIds.contains(record.id)) {
            return;
        }
        Upstream known = byId.get(record.id);
        if (record.isLeaving()) {
            rememberLeft(record.id);
            if (known != null) {
                remove(known, record.stage);
            }
        } else if (known == null) {
            Upstream created = new Upstream(record, warmupContext, scheduler.now());
            applyService(created);
            byId.put(record.id, created);
        } else {
            updateRecord(known, record);
        }
    }

    private void updateRecord(Upstream known, InstanceRecord record) {
        long knownSequence = known.record().heartbeatSequence;
        boolean isNewer = record.heartbeatSequence > knownSequence;
        known.warmup().recordReceived(record, isNewer, scheduler.now());
        if (knownSequence <= record.heartbeatSequence || known.record().stage != record.stage) {
            known.updateRecord(record);
        }
    }

    private void rememberLeft(String id) {
        if (leftIds.size() >= MAX_REMEMBERED_LEFT) {
            leftIds.clear();
        }
        leftIds.add(id);
    }

    private void remove(Upstream upstream, Stage stage) {
        byId.remove(upstream.record().id);
        upstream.updateRecord(upstream.record().withStage(stage));
        leavingUpstreams.add(upstream);
        onLeft.accept(upstream);
    }

    /** Removes an incarnation that answered that it is not at its address any more. */
    void markGone(Upstream upstream) {
        if (byId.get(upstream.record().id) == upstream) {
            rememberLeft(upstream.record().id);
            remove(upstream, Stage.GONE);
            updateAvailable();
        }
    }

    /** Requests in flight at upstreams that take no more; they end where they began. */
    List<InFlightRequests> inFlightAtLeavingUpstreams() {
        leavingUpstreams.removeIf(upstream -> upstream.ownRequests() == 0);
        List<InFlightRequests> inFlight = new ArrayList<>();
        for (Upstream upstream : leavingUpstreams) {
            inFlight.add(InFlightRequests.of(upstream.record().id, upstream.ownRequests()));
        }
        return inFlight;
    }

    /** The drained zones that were applied last. */
    List<String> drainedZones() {
        return drainedZones;
    }

    /** Takes the drained zones; what was not sent to their upstreams yet goes elsewhere. */
    void applyDrainedZones(List<String> zones) {
        if (zones.equals(drainedZones)) {
            return;
        }
        drainedZones.stream().filter(zone -> !zones.contains(zone)).forEach(this::zoneReturned);
        drainedZones = List.copyOf(zones);
        updateAvailable();
        for (Upstream upstream : List.copyOf(byId.values())) {
            if (isDrained(upstream)) {
                upstream.withdrawUnsentAttempts();
            }
        }
    }

    private boolean isDrained(Upstream upstream) {
        return drainedZones.contains(upstream.record().zone);
    }

    /**
     * Leaves out the upstreams of drained zones, and of the others those that are not ready unless
     * less than half of a service would remain.
     */
    private void updateAvailable() {
        availableByService.clear();
        Map<String, List<Upstream>> all = new HashMap<>();
        for (Upstream upstream : byId.values()) {
            if (!isDrained(upstream)) {
                String service = upstream.record().service;
                all.computeIfAbsent(service, name -> new ArrayList<>()).add(upstream);
            }
        }
        all.forEach(
                (service, upstreams) -> {
                    List<Upstream> ready = upstreams.stream().filter(Upstream::isReady).toList();
                    boolean tooFew = 2 * ready.size() < upstreams.size();
                    availableByService.put(service, tooFew ? upstreams : ready);
                });
    }

    /** The upstreams of a service that take requests. */
    List<Upstream> available(String service) {
        return availableByService.getOrDefault(service, List.of());
    }

    /** All upstreams that take requests, by service. */
    Map<String, List<Upstream>> availableByService() {
        return availableByService;
    }

    /** All known upstreams, available or not. */
    Collection<Upstream> all() {
        return byId.values();
    }

    /** Takes what the other balancers have in flight; upstreams without a load are idle. */
    void applyFleetLoads(List<UpstreamLoad> loads, long nowMs) {
        Map<Integer, UpstreamLoad> byKey = new HashMap<>();
        for (UpstreamLoad load : loads) {
            byKey.put(load.upstreamKey, load);
        }
        for (Upstream upstream : byId.values()) {
            UpstreamLoad load = byKey.get(upstream.key());
            if (load == null) {
                upstream.updatePeerLoad(0, 0, nowMs);
            } else {
                upstream.updatePeerLoad(load.inFlightRequests, load.pendingPromptTokens, nowMs);
            }
        }
    }

    /** Takes prompt prefixes that upstreams cache since other balancers sent them there. */
    void applyCachedPrompts(List<CachedPrompt> prompts, long nowMs) {
        if (prompts.isEmpty()) {
            return;
        }
        Map<Integer, Upstream> byKey = new HashMap<>();
        for (Upstream upstream : byId.values()) {
            byKey.put(upstream.key(), upstream);
        }
        for (CachedPrompt cached : prompts) {
            Upstream upstream = byKey.get(cached.upstreamKey);
            if (upstream != null) {
                upstream.prefixCache().recordAnnounced(cached.prefixHash, nowMs);
            }
        }
    }
}
