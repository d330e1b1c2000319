package myrtleladder.loadbalancer.policy;

/** How an attempt ended. */
public enum Outcome {
    /** Served. */
    OK(false),
    /** An error; it may have run. */
    ERROR(false),
    /** Rejected unseen. */
    FULL(true),
    /** No answer in time; it may have run or still run. */
    TIMEOUT(false),
    /** No connection could be had. */
    CONNECT_FAILED(true),
    /** Broken while outstanding; it may have run. */
    RESET(false),
    /** Called off; it may have run. */
    CANCELLED(false),
    /** Never sent. */
    MOOT(true);

    /** Whether this outcome proves that the attempt never ran. */
    public final boolean neverRan;

    Outcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
