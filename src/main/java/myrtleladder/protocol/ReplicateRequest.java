package myrtleladder.protocol;

/**
 * Sent by the primary to the replicas of its view, to store a configuration change before it is
 * acknowledged to the operator.
 *
 * <p>The receiver syncs the new state to its disk if it is a replica of this epoch's view and
 * promised no higher epoch. Answered by {@link AcknowledgeResponse}.
 */
public final class ReplicateRequest implements Message {
    /** Epoch of the primary. */
    public long epoch;

    /** The configuration after the change, as compressed JSON. */
    public byte[] document = {};

    /** Generation of the configuration after the change. */
    public long generation;

    /** Digest of the change request, by which one that arrives again is recognized. */
    public String changeDigest = "";

    /** Creates a message with these fields. */
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
