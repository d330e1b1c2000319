package myrtleladder.protocol;

/** The primary gives a replica the next state. */
public final class ReplicateRequest implements Message {
    /** The epoch of the primary. */
    public long epoch;

    /** The document after the change. */
    public byte[] document = {};

    /** Its number. */
    public long generation;

    /** The digest of the order. */
    public String changeDigest = "";

    /** Creates a message from its parts. */
    public static ReplicateRequest of(
            long epoch, byte[] document, long generation, String changeDigest) {
        ReplicateRequest message = new ReplicateRequest();
        message.epoch = epoch;
        message.document = document;
        message.generation = generation;
        message.changeDigest = changeDigest;
        return message;
    }
}
