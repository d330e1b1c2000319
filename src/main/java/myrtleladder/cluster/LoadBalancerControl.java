package myrtleladder.cluster;

import java.util.List;
import java.util.Set;

/**
 * What the maintenance of machines needs of the load balancer in the same process. All methods are
 * called on the event loop of the load balancer.
 */
public interface LoadBalancerControl {
    /**
     * An upstream as discovery reported it last.
     *
     * @param cell group of upstreams that share requests
     * @param isReady whether discovery reports it as ready to serve
     */
    record Upstream(String id, String zone, String kind, int cell, boolean isReady) {}

    /** Number of attempts in flight at an upstream. */
    int inFlight(String upstream);

    /**
     * Replaces the upstreams that get no new attempts.
     *
     * @param excluded ids of these upstreams
     * @param returned ids of upstreams that were excluded before and have to warm up
     */
    void excludeUpstreams(Set<String> excluded, Set<String> returned);

    /** All upstreams that discovery has reported. */
    List<Upstream> upstreams();
}
