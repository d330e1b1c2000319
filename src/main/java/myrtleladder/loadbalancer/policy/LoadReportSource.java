package myrtleladder.loadbalancer.policy;

/** Where load reports of upstreams come from. */
public enum LoadReportSource {
    /** Attached to responses. */
    RESPONSES,
    /** Only in response to a probe. */
    PROBES,
    /** Upstreams report no load. */
    NONE
}
