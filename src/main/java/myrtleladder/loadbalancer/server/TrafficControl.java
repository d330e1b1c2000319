package myrtleladder.loadbalancer.server;

import java.util.List;
import java.util.Set;

/**
 * What a part beside the balancer may know of its sending, and say of it; on its event loop alone.
 */
public interface TrafficControl {
    /** Who has a say on each attempt. */
    interface AttemptAdmission {
        /** Whether an attempt may begin now. */
        boolean maySend(String upstream);

        /** An attempt is over after so many microseconds; {@code served} if it was. */
        void ended(String upstream, boolean served, long took);
    }

    /** An upstream as discovery told it last. */
    record ListedEndpoint(String id, String zone, String kind, int cell, boolean ready) {}

    /** From now on each attempt is asked for. */
    void restrain(AttemptAdmission restraint);

    /**
     * Upstreams that count as draining, in place of those before; {@code cold} ones have come back.
     */
    void setAside(Set<String> away, Set<String> cold);

    /** Attempts that are out. */
    int inFlight(String upstream);

    /** All upstreams. */
    List<ListedEndpoint> listed();
}
