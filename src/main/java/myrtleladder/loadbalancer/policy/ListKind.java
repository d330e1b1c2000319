package myrtleladder.loadbalancer.policy;

/**
 * What a list of upstreams is: changes, the whole, the whole as held before a restart, or a failed
 * call.
 */
public enum ListKind {
    CHANGES,
    COMPLETE,
    RESTORED,
    UNAVAILABLE
}
