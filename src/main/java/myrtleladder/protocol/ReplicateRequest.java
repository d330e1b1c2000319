package myrtleladder.protocol;

/**
 * Sent by the primary to the replicas of its view, to store a change of the configuration or of the
 * drained zones before it is acknowledged to the operator.
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

    /**
     * Digest of the request for a change of the configuration, by which one that arrives again is
     * recognized; empty for other changes.
     */
    public String changeDigest = "";

    /** The drained zones after the change, null to keep those that the receiver has. */
    public DrainedZones drainedZones;

    /** Creates a message that keeps the drained zones. */
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
