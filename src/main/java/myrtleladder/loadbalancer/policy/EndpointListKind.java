package myrtleladder.loadbalancer.policy;

/** What an event of service discovery contains. */
public enum EndpointListKind {
    /** Only the entries that have changed. */
    CHANGES,
    /** The complete list. */
    COMPLETE,
    /** The complete list as stored before a restart of the balancer. */
    RESTORED,
    /** Nothing: the call to service discovery failed. */
    UNAVAILABLE
}
