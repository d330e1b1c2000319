package myrtleladder.loadbalancer.policy;

/** Where load reports of upstreams come from. */
public enum Reports {
    /** Attached to responses. */
    IN_ANSWERS,
    /** Only in response to a probe. */
    BY_PROBE,
    /** Upstreams report no load. */
    NONE
}
