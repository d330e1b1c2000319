package myrtleladder.tally;

/** What became of the request to add to a tally. */
public enum AdditionResult {
    /** The addition is durable on enough nodes. */
    ACKNOWLEDGED,
    /** The addition may count or not; the request may be sent again with the same id. */
    UNCERTAIN,
    /** Nothing was done, and nothing will be because of this request. */
    REFUSED
}
