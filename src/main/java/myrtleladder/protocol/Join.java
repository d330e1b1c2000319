package myrtleladder.protocol;

/** A control node outside of the group asks to be admitted. */
public final class Join implements Message {
    /** Who asks. */
    public Member member;

    /** Creates a message from its parts. */
    public static Join of(Member member) {
        Join message = new Join();
        message.member = member;
        return message;
    }
}
