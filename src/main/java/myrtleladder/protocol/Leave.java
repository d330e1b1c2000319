package myrtleladder.protocol;

/** A control node that was asked to end asks to be taken out of the group first. */
public final class Leave implements Message {
    /** Who leaves. */
    public Member member;

    /** Creates a message from its parts. */
    public static Leave of(Member member) {
        Leave message = new Leave();
        message.member = member;
        return message;
    }
}
