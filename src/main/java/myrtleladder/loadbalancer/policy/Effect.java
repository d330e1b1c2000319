package myrtleladder.loadbalancer.policy;

/** Idempotency of a request: whether it may run more than once. */
public enum Effect {
    /** May run any number of times at any upstream. */
    SAFE,
    /** Upstreams that share a {@link DeduplicationScope} discard a repeat with the same key. */
    KEYED,
    /** Must not run twice. */
    UNSAFE
}
