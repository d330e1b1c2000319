package myrtleladder.loadbalancer.policy;

/**
 * An upstream as described by the endpoint list.
 *
 * @param id its identifier, which stays the same over restarts
 * @param zone index of its zone
 * @param kind index of its machine type
 * @param cell index of its cell; see {@link DeduplicationScope#CELL}
 * @param state whether it accepts requests
 * @param rating its relative capacity; see {@link CapacityRatingKind}
 * @param launchedAtUs when its process was launched, microseconds; 0 or less if long ago
 */
public record Upstream(
        String id, int zone, int kind, int cell, State state, double rating, long launchedAtUs) {
    /** State of an upstream in the list. */
    public enum State {
        /** Accepts requests. */
        READY,
        /** Finishes the requests that it has, and accepts no new ones. */
        DRAINING,
        /** Has stopped. */
        GONE
    }
}
