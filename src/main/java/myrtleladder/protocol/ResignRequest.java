package myrtleladder.protocol;

/**
 * Sent by a primary that is about to stop, or can't write to its disk, to a replica, which starts
 * an election at once. Answered by {@link AcknowledgeResponse}.
 */
public final class ResignRequest implements Message {
    /** Epoch of the resigning primary. */
    public long epoch;

    /** Creates a message with these fields. */
    public static ResignRequest of(long epoch) {
        ResignRequest message = new ResignRequest();
        message.epoch = epoch;
        return message;
    }
}
