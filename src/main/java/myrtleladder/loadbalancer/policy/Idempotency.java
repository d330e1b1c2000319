package myrtleladder.loadbalancer.policy;

/** Idempotency of a request: whether it may run more than once. */
public enum Idempotency {
    /** May run any number of times at any upstream. */
    IDEMPOTENT,
    /** Upstreams that share a {@link DeduplicationScope} discard a repeat with the same key. */
    IDEMPOTENT_BY_KEY,
    /** Must not run twice. */
    NON_IDEMPOTENT
}
