package myrtleladder.protocol;

/** The answer to a message that is either taken or refused for a higher epoch. */
public final class AcknowledgeResponse implements Message {
    /** Whether it was taken. */
    public boolean accepted;

    /** The highest epoch promised. */
    public long promisedEpoch;

    /** Who answers. */
    public Member member;

    /** Creates a message from its parts. */
    public static AcknowledgeResponse of(boolean accepted, long promisedEpoch, Member member) {
        AcknowledgeResponse message = new AcknowledgeResponse();
        message.accepted = accepted;
        message.promisedEpoch = promisedEpoch;
        message.member = member;
        return message;
    }
}
