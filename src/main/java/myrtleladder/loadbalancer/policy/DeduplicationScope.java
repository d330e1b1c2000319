package myrtleladder.loadbalancer.policy;

/**
 * Which upstreams recognise the idempotency key of a request that one of them has seen, and discard
 * the repeat.
 */
public enum DeduplicationScope {
    /** All upstreams. */
    ALL,
    /** Upstreams of the same zone. */
    ZONE,
    /** Upstreams of the same cell. */
    CELL
}
