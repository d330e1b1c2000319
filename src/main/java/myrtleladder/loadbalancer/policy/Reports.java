package myrtleladder.loadbalancer.policy;

/** How load reports come: within answers, by probes alone, or not at all. */
public enum Reports {
    IN_ANSWERS,
    BY_PROBE,
    NONE
}
