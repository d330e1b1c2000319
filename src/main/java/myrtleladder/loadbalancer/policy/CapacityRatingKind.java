package myrtleladder.loadbalancer.policy;

/**
 * What the ratings in the endpoint list say about the capacity of upstreams. Every kind but {@link
 * #NONE} is used as relative capacity.
 */
public enum CapacityRatingKind {
    /** The list has no ratings. */
    NONE,
    /** The nominal capacity. */
    NOMINAL,
    /** An approximate capacity. */
    APPROXIMATE,
    /** The current capacity. */
    LIVE
}
