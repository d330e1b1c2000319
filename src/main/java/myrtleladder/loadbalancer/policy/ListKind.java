package myrtleladder.loadbalancer.policy;

/**
 * What a list of upstreams is: changes, the complete list, the complete list as stored before a
 * restart, or a failed call.
 */
public enum ListKind {
    CHANGES,
    COMPLETE,
    RESTORED,
    UNAVAILABLE
}
