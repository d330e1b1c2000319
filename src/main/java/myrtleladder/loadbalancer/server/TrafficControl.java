package myrtleladder.loadbalancer.server;

import java.util.List;
import java.util.Set;

/**
 * Interface for other components, such as the maintenance of upstreams, to observe and control the
 * balancer's traffic. Confined to the balancer's event loop.
 */
public interface TrafficControl {
    /** Decides on each attempt whether it may be sent. Called on the balancer's event loop. */
    interface AttemptAdmission {
        /** Returns whether an attempt may be sent to this upstream now. */
        boolean canSend(String upstream);

        /**
         * Called when an attempt has ended.
         *
         * @param isServed whether the attempt succeeded
         * @param tookUs duration of the attempt in microseconds
         */
        void attemptEnded(String upstream, boolean isServed, long tookUs);
    }

    /** An endpoint as last listed by discovery. */
    record ListedEndpoint(String id, String zone, String kind, int cell, boolean isReady) {}

    /** Sets the component that decides on each attempt, replacing the previous one. */
    void setAdmission(AttemptAdmission admission);

    /**
     * Replaces the set of upstreams that are treated as draining.
     *
     * @param draining ids of upstreams; no new request is sent to them
     * @param restarted ids of upstreams that have just restarted and are warming up
     */
    void setDraining(Set<String> draining, Set<String> restarted);

    /** Returns the number of attempts in flight to an upstream. */
    int attemptsInFlight(String upstream);

    /** Returns all endpoints, including draining ones. */
    List<ListedEndpoint> listedEndpoints();
}
