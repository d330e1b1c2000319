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

/**
 * The upstreams that this balancer knows, by service. One that drains or is gone never comes back.
 */
final class UpstreamDirectory {
    private static final int MOST_ENDED = 5_000;

    private final Map<String, Upstream> byId = new LinkedHashMap<>();
    private final Map<String, List<Upstream>> readyByService = new HashMap<>();
    private final Set<String> ended = new HashSet<>();
    private final Set<Upstream> finishing = new LinkedHashSet<>();
    private final Consumer<Upstream> onEnd;
    private Configuration configuration;

    /** Creates a directory; {@code onEnd} hears of upstreams that take no more requests. */
    UpstreamDirectory(Consumer<Upstream> onEnd) {
        this.onEnd = onEnd;
    }

    void use(Configuration next) {
        configuration = next;
        byId.values()
                .forEach(
                        u -> {
                            if (!u.hasEngine()) {
                                u.engine(engineOf(u.record()));
                            }
                        });
    }

    private Service.Engine engineOf(InstanceRecord record) {
        Service service = configuration == null ? null : configuration.service(record.service);
        return service == null ? null : service.engine();
    }

    /** Takes records; if they are {@code all}, what is not among them is gone. */
    void take(Collection<InstanceRecord> records, boolean all) {
        if (records.isEmpty() && !all) {
            return; // most answers to polls tell nothing of upstreams
        }
        Set<String> named = new HashSet<>();
        for (InstanceRecord record : records) {
            named.add(record.id);
            take(record);
        }
        if (all) {
            for (Upstream upstream : new ArrayList<>(byId.values())) {
                if (!named.contains(upstream.record().id)) {
                    end(upstream, Stage.GONE);
                }
            }
        }
        index();
    }

    private void take(InstanceRecord record) {
        if (ended.contains(record.id)) {
            return;
        }
        Upstream known = byId.get(record.id);
        if (record.isLeaving()) {
            remember(record.id);
            if (known != null) {
                end(known, record.stage);
            }
            return;
        }
        if (known == null) {
            Upstream created = new Upstream(record);
            created.engine(engineOf(record));
            byId.put(record.id, created);
        } else if (known.record().heartbeatSequence <= record.heartbeatSequence
                || known.record().stage != record.stage) {
            known.update(record);
        }
    }

    private void remember(String id) {
        if (ended.size() >= MOST_ENDED) {
            ended.clear();
        }
        ended.add(id);
    }

    private void end(Upstream upstream, Stage stage) {
        byId.remove(upstream.record().id);
        upstream.update(upstream.record().withStage(stage));
        finishing.add(upstream);
        onEnd.accept(upstream);
    }

    /** What is under way at upstreams that take no more requests; it ends where it began. */
    List<InFlightRequests> underWayAtLeaving() {
        finishing.removeIf(upstream -> upstream.own() == 0);
        return finishing.stream().map(u -> InFlightRequests.of(u.record().id, u.own())).toList();
    }

    /** An answer showed that this incarnation is not at its address any more. */
    void gone(Upstream upstream) {
        if (byId.get(upstream.record().id) == upstream) {
            remember(upstream.record().id);
            end(upstream, Stage.GONE);
            index();
        }
    }

    /**
     * Upstreams whose heartbeats stay out get nothing, unless that would leave less than half of a
     * service.
     */
    private void index() {
        readyByService.clear();
        Map<String, List<Upstream>> all = new HashMap<>();
        for (Upstream upstream : byId.values()) {
            all.computeIfAbsent(upstream.record().service, s -> new ArrayList<>()).add(upstream);
        }
        all.forEach(
                (service, upstreams) -> {
                    List<Upstream> ready = upstreams.stream().filter(Upstream::ready).toList();
                    readyByService.put(
                            service, 2 * ready.size() < upstreams.size() ? upstreams : ready);
                });
    }

    /** The upstreams of a service that take requests. */
    List<Upstream> ready(String service) {
        return readyByService.getOrDefault(service, List.of());
    }

    /** All that take requests, by service. */
    Map<String, List<Upstream>> byService() {
        return readyByService;
    }

    /** All that are known, ready or not. */
    Collection<Upstream> all() {
        return byId.values();
    }

    /** Takes what the other balancers have under way. */
    void takeLoads(List<UpstreamLoad> loads, long now) {
        Map<Integer, UpstreamLoad> byKey = new HashMap<>();
        loads.forEach(load -> byKey.put(load.upstreamKey, load));
        for (Upstream upstream : byId.values()) {
            UpstreamLoad load = byKey.get(upstream.key());
            upstream.sharedLoad(
                    load == null ? 0 : load.inFlightRequests,
                    load == null ? 0 : load.pendingPromptTokens,
                    now);
        }
    }

    /** Takes what upstreams keep by what other balancers sent them. */
    void takePrompts(List<CachedPrompt> prompts, long now) {
        if (prompts.isEmpty()) {
            return;
        }
        Map<Integer, Upstream> byKey = new HashMap<>();
        byId.values().forEach(upstream -> byKey.put(upstream.key(), upstream));
        for (CachedPrompt kept : prompts) {
            Upstream upstream = byKey.get(kept.upstreamKey);
            if (upstream != null) {
                upstream.memory().told(kept.prefixHash, now);
            }
        }
    }

    int size() {
        return byId.size();
    }
}
