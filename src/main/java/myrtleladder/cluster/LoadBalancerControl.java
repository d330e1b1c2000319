package myrtleladder.cluster;

import java.util.List;
import java.util.Set;

/** What the work on machines needs of the balancer beside it; on its event loop. */
public interface LoadBalancerControl {
    /** An upstream as discovery told it last. */
    record Upstream(String id, String zone, String kind, int cell, boolean ready) {}

    /** Attempts that are out at an upstream. */
    int inFlight(String upstream);

    /** Upstreams to keep away from, in place of those before; {@code cold} ones have come back. */
    void setAside(Set<String> away, Set<String> cold);

    /** All upstreams. */
    List<Upstream> listed();
}
