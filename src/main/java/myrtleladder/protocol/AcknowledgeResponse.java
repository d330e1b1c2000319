package myrtleladder.protocol;

/** The answer to a message that is either taken or refused for a higher epoch. */
public final class AcknowledgeResponse implements Message {
    /** Whether it was taken. */
    public boolean taken;

    /** The highest epoch promised. */
    public long promised;

    /** Who answers. */
    public Member member;

    /** Creates a message from its parts. */
    public static AcknowledgeResponse of(boolean taken, long promised, Member member) {
        AcknowledgeResponse message = new AcknowledgeResponse();
        message.taken = taken;
        message.promised = promised;
        message.member = member;
        return message;
    }
}
