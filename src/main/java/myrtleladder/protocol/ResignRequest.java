package myrtleladder.protocol;

/** A primary that is about to end or can't write asks a replica to stand at once. */
public final class ResignRequest implements Message {
    /** The epoch given up. */
    public long epoch;

    /** Creates a message from its parts. */
    public static ResignRequest of(long epoch) {
        ResignRequest message = new ResignRequest();
        message.epoch = epoch;
        return message;
    }
}
