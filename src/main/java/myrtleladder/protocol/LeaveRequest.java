package myrtleladder.protocol;

/** A control node that was asked to end asks to be taken out of the group first. */
public final class LeaveRequest implements Message {
    /** Who leaves. */
    public Member member;

    /** Creates a message from its parts. */
    public static LeaveRequest of(Member member) {
        LeaveRequest message = new LeaveRequest();
        message.member = member;
        return message;
    }
}
