package myrtleladder.protocol;

/** A control node outside of the group asks to be admitted. */
public final class JoinRequest implements Message {
    /** Who asks. */
    public Member member;

    /** Creates a message from its parts. */
    public static JoinRequest of(Member member) {
        JoinRequest message = new JoinRequest();
        message.member = member;
        return message;
    }
}
