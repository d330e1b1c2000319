package myrtleladder.protocol;

/**
 * Sent by a control node outside of the group to the nodes that it knows, to be admitted to the
 * group. The primary admits it in a later view. Answered by {@link JoinResponse}.
 */
public final class JoinRequest implements Message {
    /** The joining node. */
    public Member member;

    /** Creates a message with these fields. */
    public static JoinRequest of(Member member) {
        JoinRequest message = new JoinRequest();
        message.member = member;
        return message;
    }
}
