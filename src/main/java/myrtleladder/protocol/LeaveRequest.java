package myrtleladder.protocol;

/**
 * Sent by a control node that was asked to stop, to be removed from the group first. The primary
 * removes it in a later view. Answered by {@link LeaveResponse}.
 */
public final class LeaveRequest implements Message {
    /** The leaving node. */
    public Member member;

    /** Creates a message with these fields. */
    public static LeaveRequest of(Member member) {
        LeaveRequest message = new LeaveRequest();
        message.member = member;
        return message;
    }
}
