package myrtleladder.loadbalancer.server;

import java.util.List;
import java.util.Set;

/**
 * What components beside the balancer, such as the maintenance of upstreams, may know of its
 * traffic and change in it. Confined to the balancer's event loop.
 */
public interface TrafficControl {
    /** Decides on each attempt whether it may be sent. Called on the balancer's event loop. */
    interface AttemptAdmission {
        /** Whether an attempt may be sent to this upstream now. */
        boolean canSend(String upstream);

        /**
         * An attempt has ended.
         *
         * @param isServed whether it succeeded
         * @param tookUs its duration in microseconds
         */
        void attemptEnded(String upstream, boolean isServed, long tookUs);
    }

    /** An endpoint as discovery listed it last. */
    record ListedEndpoint(String id, String zone, String kind, int cell, boolean isReady) {}

    /** From now on each attempt is subject to this admission, in place of the one before. */
    void setAdmission(AttemptAdmission admission);

    /**
     * Replaces the set of upstreams that count as draining.
     *
     * @param draining ids of upstreams; no new request is sent to them
     * @param restarted ids of upstreams that have restarted just now and are warming up
     */
    void setDraining(Set<String> draining, Set<String> restarted);

    /** The number of attempts that are in flight to an upstream. */
    int attemptsInFlight(String upstream);

    /** All endpoints, draining ones included. */
    List<ListedEndpoint> listedEndpoints();
}
