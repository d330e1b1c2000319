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
 * The upstreams that this balancer knows, by service. An incarnation that is reported as draining
 * or gone is removed, and later records of it are ignored. Upstreams of a drained zone are excluded
 * from picks until the zone is undrained. Confined to the event loop.
 */
final class UpstreamDirectory {
    /** Maximum size of {@link #removedIds}; the set is cleared when it is full. */
    private static final int MAX_REMOVED_IDS = 5_000;

    private final Map<String, Upstream> byId = new LinkedHashMap<>();
    private final Map<String, List<Upstream>> availableByService = new HashMap<>();
    private final Set<String> removedIds = new HashSet<>();
    private final Set<Upstream> removedUpstreams = new LinkedHashSet<>();
    private List<String> drainedZones = List.of();
    private final Consumer<Upstream> onRemoved;
    private final WarmupContext warmupContext;
    private final Scheduler scheduler;
    private Configuration configuration;

    /** Creates an empty directory; {@code onRemoved} is called for each upstream it removes. */
    UpstreamDirectory(
            Consumer<Upstream> onRemoved, WarmupContext warmupContext, Scheduler scheduler) {
        this.onRemoved = onRemoved;
        this.warmupContext = warmupContext;
        this.scheduler = scheduler;
    }

    /** Applies the warm-up limits of services, and their engines to upstreams without an engine. */
    void applyConfiguration(Configuration next) {
        configuration = next;
        byId.values().forEach(this::applyServiceSettings);
    }

    private void applyServiceSettings(Upstream upstream) {
        String name = upstream.record().service;
        Service service = configuration == null ? null : configuration.service(name);
        if (service != null && !upstream.hasEngine()) {
            upstream.setEngine(service.engine());
        }
        upstream.warmup().setAllowancePerSecond(warmupContext.allowancePerSecond(service));
    }

    /** Recomputes the ownership of warm-up budgets after the list of balancers changed. */
    void balancerListChanged() {
        long changedAtMs = warmupContext.ownership().changedAtMs();
        byId.values().forEach(upstream -> upstream.warmup().updateOwnership(changedAtMs));
    }

    /**
     * Limits requests to the upstreams of an undrained zone until the primary has confirmed that
     * they are warm, since they may have restarted cold.
     */
    private void markZoneUnconfirmed(String zone) {
        for (Upstream upstream : byId.values()) {
            if (upstream.record().zone.equals(zone)) {
                upstream.warmup().markUnconfirmed(scheduler.now());
            }
        }
    }

    /**
     * Applies records from the control plane.
     *
     * @param complete whether the records are the full list; upstreams not in it are removed
     */
    void applyRecords(Collection<InstanceRecord> records, boolean complete) {
        if (records.isEmpty() && !complete) {
            return; // most poll responses contain no records
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
        if (removedIds.contains(record.id)) {
            return;
        }
        Upstream existing = byId.get(record.id);
        if (record.isLeaving()) {
            rememberRemoved(record.id);
            if (existing != null) {
                remove(existing, record.stage);
            }
        } else if (existing == null) {
            Upstream created = new Upstream(record, warmupContext, scheduler.now());
            applyServiceSettings(created);
            byId.put(record.id, created);
        } else {
            updateRecord(existing, record);
        }
    }

    private void updateRecord(Upstream existing, InstanceRecord record) {
        long existingSequence = existing.record().heartbeatSequence;
        boolean isNewer = record.heartbeatSequence > existingSequence;
        existing.warmup().applyRecord(record, isNewer, scheduler.now());
        if (existingSequence <= record.heartbeatSequence
                || existing.record().stage != record.stage) {
            existing.updateRecord(record);
        }
    }

    private void rememberRemoved(String id) {
        if (removedIds.size() >= MAX_REMOVED_IDS) {
            removedIds.clear();
        }
        removedIds.add(id);
    }

    private void remove(Upstream upstream, Stage stage) {
        byId.remove(upstream.record().id);
        upstream.updateRecord(upstream.record().withStage(stage));
        removedUpstreams.add(upstream);
        onRemoved.accept(upstream);
    }

    /** Removes an incarnation after a response showed that its address belongs to another one. */
    void removeGone(Upstream upstream) {
        if (byId.get(upstream.record().id) == upstream) {
            rememberRemoved(upstream.record().id);
            remove(upstream, Stage.GONE);
            updateAvailable();
        }
    }

    /** Requests in flight at removed upstreams, where they are allowed to complete. */
    List<InFlightRequests> inFlightAtRemovedUpstreams() {
        removedUpstreams.removeIf(upstream -> upstream.ownRequests() == 0);
        List<InFlightRequests> inFlight = new ArrayList<>();
        for (Upstream upstream : removedUpstreams) {
            inFlight.add(InFlightRequests.of(upstream.record().id, upstream.ownRequests()));
        }
        return inFlight;
    }

    /** The drained zones last applied. */
    List<String> drainedZones() {
        return drainedZones;
    }

    /**
     * Replaces the drained zones. Attempts that have not been sent yet to upstreams in these zones
     * are withdrawn, so that their requests are sent elsewhere.
     */
    void applyDrainedZones(List<String> zones) {
        if (zones.equals(drainedZones)) {
            return;
        }
        drainedZones.stream()
                .filter(zone -> !zones.contains(zone))
                .forEach(this::markZoneUnconfirmed);
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
     * Recomputes the available upstreams: those outside drained zones that are ready, or all
     * outside drained zones if less than half of them are ready.
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

    /** The upstreams that may be picked for a service. */
    List<Upstream> available(String service) {
        return availableByService.getOrDefault(service, List.of());
    }

    /** All upstreams that may be picked, by service. */
    Map<String, List<Upstream>> availableByService() {
        return availableByService;
    }

    /** All known upstreams, available or not. */
    Collection<Upstream> all() {
        return byId.values();
    }

    /**
     * Applies the sums of the other balancers' loads. The load of an upstream that is not in the
     * list is set to 0.
     */
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

    /** Applies announcements by other balancers of prompt prefixes that upstreams cache. */
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
