package myrtleladder.tally;

/** The outcome of a request to add to a tally. */
public enum AdditionResult {
    /** The addition is durable on enough nodes. */
    ACKNOWLEDGED,
    /** The addition may or may not take effect; the request may be retried with the same id. */
    UNCERTAIN,
    /** The addition was rejected and will not take effect because of this request. */
    REFUSED
}
