package myrtleladder.tally;

/** The outcome of a request to add to a tally. */
public enum AdditionResult {
    /**
     * The addition is durable on as many disks and in as many zones as {@code DurabilityRule}
     * requires.
     */
    ACKNOWLEDGED,
    /** The addition may or may not take effect; the request may be retried with the same id. */
    UNCERTAIN,
    /**
     * The request was rejected and adds nothing. An earlier request with the same id may still take
     * effect.
     */
    REFUSED
}
