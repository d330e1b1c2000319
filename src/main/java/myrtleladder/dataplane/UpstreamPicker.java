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
 * Picks the upstream of a request. Candidates are filtered by health, connection limit, warm-up
 * limit and, for model services, the expected time to the first event. The pick among the remaining
 * ones is weighted by weight / (in-flight + 1)^bias, using earliest deadline first scheduling
 * ({@link EarliestDeadlineFirstScheduler}). Confined to the event loop.
 */
final class UpstreamPicker {
    /** Bias for model services: a clearly shorter queue is nearly always preferred. */
    private static final double MODEL_BIAS = 3;

    /** Bias for other services. */
    private static final double NON_MODEL_BIAS = 4;

    /** If a smaller fraction of the upstreams is healthy, ejected ones are picked too. */
    private static final double PANIC_HEALTHY_FRACTION = 0.4;

    /** Fraction of an upstream's connection limit that all balancers together use. */
    private static final double CONNECTION_LIMIT_FRACTION = 0.9;

    /** Connections that each balancer may open to an upstream regardless of the limit. */
    private static final int MIN_CONNECTION_LIMIT = 2;

    private final UpstreamDirectory directory;
    private final ConnectionPool connections;
    private final PrefillTimeEstimator prefillTime;
    private final WeightsRollout weightsRollout;
    private final PrefixCacheAwarePolicy modelPolicy;
    private final Map<String, EarliestDeadlineFirstScheduler> schedulers = new HashMap<>();
    private int balancerCount = 1;

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

    /** Sets the number of balancers that share the connection limits; at least 1 is assumed. */
    void setBalancerCount(int count) {
        balancerCount = Math.max(1, count);
    }

    /** Recomputes the utilisation and weight of all available upstreams; called periodically. */
    void updateWeights(long nowMs) {
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
     * @param triedUpstreams upstreams to which the request has already been sent; not picked again
     * @param weightsVersion version of the model weights that produced the beginning of the
     *     response, or {@link InstanceRecord#UNKNOWN_WEIGHTS_VERSION} for a new request; upstreams
     *     with this version are preferred
     * @return null if no upstream can accept the request now
     */
    PickResult pick(
            Service service,
            PromptSegments prompt,
            Set<Upstream> triedUpstreams,
            long weightsVersion,
            long nowMs) {
        weightsRollout.observe(service.name(), directory.available(service.name()), nowMs);
        List<Upstream> all = candidates(service, triedUpstreams, nowMs);
        List<Upstream> candidates =
                weightsVersion == InstanceRecord.UNKNOWN_WEIGHTS_VERSION
                        ? weightsRollout.filterCandidates(service.name(), all, nowMs)
                        : preferWeightsVersion(all, weightsVersion);
        if (candidates.isEmpty()) {
            return null;
        }
        return service.engine() == null
                ? pickForNonModelService(service, candidates, nowMs)
                : modelPolicy.pick(schedulerOf(service), prompt, candidates, nowMs);
    }

    /**
     * Estimates which upstream a request would be sent to and the load it would add there. Does not
     * change the state of the scheduler.
     *
     * @return null for services without a model engine and if no upstream can accept the request
     */
    UpstreamLoad estimateLoad(Service service, PromptSegments prompt, long nowMs) {
        List<Upstream> candidates = candidates(service, Set.of(), nowMs);
        if (service.engine() == null || candidates.isEmpty()) {
            return null;
        }
        PickResult cheapest = modelPolicy.cheapest(prompt, candidates, nowMs);
        return UpstreamLoad.of(cheapest.upstream().key(), 1, cheapest.promptTokens());
    }

    /** See {@link PrefixCacheAwarePolicy#shouldAnnounce}. */
    boolean shouldAnnounce(PromptSegments prompt) {
        return modelPolicy.shouldAnnounce(prompt);
    }

    private List<Upstream> candidates(Service service, Set<Upstream> triedUpstreams, long nowMs) {
        List<Upstream> available = directory.available(service.name());
        boolean panicMode = isInPanicMode(available, nowMs);
        int limit = connectionLimit(service);
        List<Upstream> candidates = new ArrayList<>();
        for (Upstream upstream : available) {
            boolean connectable =
                    connections.idleConnections(upstream) > 0
                            || connections.openConnections(upstream) < limit;
            boolean healthy = panicMode || !upstream.isEjected(nowMs);
            if (!triedUpstreams.contains(upstream)
                    && connectable
                    && healthy
                    && upstream.warmupAdmitsRequest(nowMs)) {
                candidates.add(upstream);
            }
        }
        return candidates;
    }

    private static boolean isInPanicMode(List<Upstream> upstreams, long nowMs) {
        int healthy = 0;
        for (Upstream upstream : upstreams) {
            healthy += upstream.isEjected(nowMs) ? 0 : 1;
        }
        return healthy < PANIC_HEALTHY_FRACTION * upstreams.size();
    }

    private static List<Upstream> preferWeightsVersion(
            List<Upstream> candidates, long weightsVersion) {
        List<Upstream> matching = new ArrayList<>();
        for (Upstream upstream : candidates) {
            if (upstream.record().weightsVersion == weightsVersion) {
                matching.add(upstream);
            }
        }
        return matching.isEmpty() ? candidates : matching;
    }

    /** Connections that this balancer may open to each upstream of the service. */
    private int connectionLimit(Service service) {
        double limit = CONNECTION_LIMIT_FRACTION * service.maxConnections() / balancerCount;
        return Math.max(MIN_CONNECTION_LIMIT, (int) limit);
    }

    private EarliestDeadlineFirstScheduler schedulerOf(Service service) {
        return schedulers.computeIfAbsent(
                service.name(),
                name ->
                        new EarliestDeadlineFirstScheduler(
                                service.engine() == null ? NON_MODEL_BIAS : MODEL_BIAS));
    }

    private PickResult pickForNonModelService(
            Service service, List<Upstream> candidates, long nowMs) {
        for (Upstream upstream : candidates) {
            upstream.refreshInFlight(nowMs);
        }
        Upstream picked = schedulerOf(service).pick(candidates);
        double queuedRequests = Math.max(0, picked.inFlight() + 1 - picked.capacity());
        double expectedMs = queuedRequests / picked.capacity() * picked.responseTimeMs();
        return new PickResult(picked, 0, expectedMs, 0, expectedMs, false);
    }
}
