package myrtleladder.dataplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import myrtleladder.configuration.Service;
import myrtleladder.loadbalancer.policy.EarliestDeadlineFirstScheduler;
import myrtleladder.loadbalancer.policy.UtilisationWeights;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.UpstreamLoad;

/**
 * Picks the upstream of a request. Candidates are narrowed by health, connections, the budgets of
 * cold upstreams and, for model services, the expected time to the first event; among those left,
 * picks go by weight / (in-flight + 1)^bias, earliest deadline first ({@link
 * EarliestDeadlineFirstScheduler}). Confined to the event loop.
 */
final class UpstreamPicker {
    /** Bias for model services, so that a clearly shorter queue nearly always wins. */
    private static final double MODEL_BIAS = 3;

    /** Bias for other services. */
    private static final double PLAIN_BIAS = 4;

    /** Ejected upstreams are picked too if less than this share is healthy. */
    private static final double PANIC_THRESHOLD = 0.4;

    /** Share of an upstream's connection limit that all balancers use together. */
    private static final double CONNECTION_LIMIT_SHARE = 0.9;

    /** Connections that each balancer may open to an upstream in any case. */
    private static final int MIN_CONNECTION_LIMIT = 2;

    private final UpstreamDirectory directory;
    private final ConnectionPool connections;
    private final PrefillTimeEstimator prefillTime;
    private final WeightsRollout weightsRollout;
    private final PrefixCacheAwarePolicy modelPolicy;
    private final Map<String, EarliestDeadlineFirstScheduler> schedules = new HashMap<>();
    private int balancers = 1;

    UpstreamPicker(
            UpstreamDirectory directory,
            ConnectionPool connections,
            FleetLoadSync fleetLoads,
            PrefillTimeEstimator prefillTime,
            WeightsRollout weightsRollout) {
        this.directory = directory;
        this.connections = connections;
        this.prefillTime = prefillTime;
        this.weightsRollout = weightsRollout;
        this.modelPolicy = new PrefixCacheAwarePolicy(fleetLoads, prefillTime, weightsRollout);
    }

    /** Sets the number of balancers that share the upstreams' connection limits. */
    void setBalancers(int count) {
        balancers = Math.max(1, count);
    }

    /** Carries out a period of the reweighting, service by service. */
    void reweight(long nowMs) {
        for (List<Upstream> upstreams : directory.availableByService().values()) {
            for (Upstream upstream : upstreams) {
                upstream.updateUtilisation(nowMs, prefillTime.msPerToken());
            }
            UtilisationWeights.update(upstreams);
        }
    }

    /**
     * Picks an upstream.
     *
     * @param tried upstreams to which the request was sent already; none of them is picked
     * @param weightsVersion version of the model weights that began the response, or {@link
     *     InstanceRecord#UNKNOWN_WEIGHTS_VERSION}; upstreams with this version are preferred
     * @return null if no upstream can take the request now
     */
    PickResult pick(
            Service service,
            PromptSegments prompt,
            Set<Upstream> tried,
            long weightsVersion,
            long nowMs) {
        weightsRollout.observe(service.name(), directory.available(service.name()), nowMs);
        List<Upstream> all = candidates(service, tried, nowMs);
        List<Upstream> candidates =
                weightsVersion == InstanceRecord.UNKNOWN_WEIGHTS_VERSION
                        ? weightsRollout.withoutExpired(service.name(), all, nowMs)
                        : withWeightsVersion(all, weightsVersion);
        if (candidates.isEmpty()) {
            return null;
        }
        return service.engine() == null
                ? pickPlain(service, candidates, nowMs)
                : modelPolicy.pick(schedule(service), prompt, candidates, nowMs);
    }

    /**
     * The load that a request would likely be; picks nothing.
     *
     * @return null if it is not known
     */
    UpstreamLoad likelyLoad(Service service, PromptSegments prompt, long nowMs) {
        List<Upstream> candidates = candidates(service, Set.of(), nowMs);
        if (service.engine() == null || candidates.isEmpty()) {
            return null;
        }
        PickResult likely = modelPolicy.cheapest(prompt, candidates, nowMs);
        return UpstreamLoad.of(likely.upstream().key(), 1, likely.promptTokens());
    }

    /** Whether the shared prefix of a prompt is long enough to announce where it is cached. */
    boolean shouldAnnounce(PromptSegments prompt) {
        return modelPolicy.shouldAnnounce(prompt);
    }

    private List<Upstream> candidates(Service service, Set<Upstream> tried, long nowMs) {
        List<Upstream> available = directory.available(service.name());
        boolean panic = isPanic(available, nowMs);
        int limit = connectionLimit(service);
        List<Upstream> candidates = new ArrayList<>();
        for (Upstream upstream : available) {
            boolean connectable =
                    connections.idleConnections(upstream) > 0
                            || connections.openConnections(upstream) < limit;
            boolean healthy = panic || !upstream.isEjected(nowMs);
            if (!tried.contains(upstream)
                    && connectable
                    && healthy
                    && upstream.admitsRequest(nowMs)) {
                candidates.add(upstream);
            }
        }
        return candidates;
    }

    private static boolean isPanic(List<Upstream> upstreams, long nowMs) {
        int healthy = 0;
        for (Upstream upstream : upstreams) {
            healthy += upstream.isEjected(nowMs) ? 0 : 1;
        }
        return healthy < PANIC_THRESHOLD * upstreams.size();
    }

    private static List<Upstream> withWeightsVersion(
            List<Upstream> candidates, long weightsVersion) {
        List<Upstream> same = new ArrayList<>();
        for (Upstream upstream : candidates) {
            if (upstream.record().weightsVersion == weightsVersion) {
                same.add(upstream);
            }
        }
        return same.isEmpty() ? candidates : same;
    }

    /** This balancer's part of the limit that all balancers together keep. */
    private int connectionLimit(Service service) {
        double part = CONNECTION_LIMIT_SHARE * service.maxConnections() / balancers;
        return Math.max(MIN_CONNECTION_LIMIT, (int) part);
    }

    private EarliestDeadlineFirstScheduler schedule(Service service) {
        return schedules.computeIfAbsent(
                service.name(),
                name ->
                        new EarliestDeadlineFirstScheduler(
                                service.engine() == null ? PLAIN_BIAS : MODEL_BIAS));
    }

    private PickResult pickPlain(Service service, List<Upstream> candidates, long nowMs) {
        for (Upstream upstream : candidates) {
            upstream.refreshInFlight(nowMs);
        }
        Upstream picked = schedule(service).pick(candidates);
        double queued = Math.max(0, picked.inFlight() + 1 - picked.capacity());
        double expectedMs = queued / picked.capacity() * picked.responseTimeMs();
        return new PickResult(picked, 0, expectedMs, 0, expectedMs, false);
    }
}
