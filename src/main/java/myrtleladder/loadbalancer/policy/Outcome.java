package myrtleladder.loadbalancer.policy;

/** How an attempt ended. */
public enum Outcome {
    /** Served without an error. */
    OK(false),
    /** Answered with an error; may have run. */
    ERROR(false),
    /** Rejected by the upstream without running it. */
    FULL(true),
    /** Not answered in time; may have run, or may still run. */
    TIMEOUT(false),
    /** No connection to the upstream could be established. */
    CONNECT_FAILED(true),
    /** The connection broke while the attempt was outstanding; may have run. */
    RESET(false),
    /** Cancelled by the balancer; may have run. */
    CANCELLED(false),
    /** Never sent. */
    MOOT(true);

    /** Whether this outcome proves that the attempt never ran. */
    public final boolean neverRan;

    Outcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
