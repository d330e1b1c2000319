package myrtleladder.protocol;

/**
 * The response to a request that is either accepted or rejected because of a higher epoch: {@link
 * AcceptViewRequest}, {@link InstallStateRequest}, {@link ReplicateRequest}, {@link
 * HeartbeatRequest}, {@link ResignRequest} and {@link ShareInstancesRequest}.
 *
 * <p>A sender that finds a higher epoch here gives its role up.
 */
public final class AcknowledgeResponse implements Message {
    /** Whether the request was accepted and, where it has to be, stored on the disk. */
    public boolean accepted;

    /** The highest epoch that the responding member promised. */
    public long promisedEpoch;

    /** The responding member. */
    public Member member;

    /** Creates a message with these fields. */
    public static AcknowledgeResponse of(boolean accepted, long promisedEpoch, Member member) {
        AcknowledgeResponse message = new AcknowledgeResponse();
        message.accepted = accepted;
        message.promisedEpoch = promisedEpoch;
        message.member = member;
        return message;
    }
}
