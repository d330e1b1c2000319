package myrtleladder.loadbalancer.policy;

/** Whether a request may run more than once. */
public enum Effect {
    SAFE,
    KEYED,
    UNSAFE
}
