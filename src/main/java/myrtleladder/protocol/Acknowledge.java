package myrtleladder.protocol;

/** The answer to a message that is either taken or refused for a higher epoch. */
public final class Acknowledge implements Message {
    /** Whether it was taken. */
    public boolean taken;

    /** The highest epoch promised. */
    public long promised;

    /** Who answers. */
    public Member member;

    /** Creates a message from its parts. */
    public static Acknowledge of(boolean taken, long promised, Member member) {
        Acknowledge message = new Acknowledge();
        message.taken = taken;
        message.promised = promised;
        message.member = member;
        return message;
    }
}
