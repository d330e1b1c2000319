package myrtleladder.protocol;

/** A primary that is about to end or can't write asks a replica to stand at once. */
public final class Resign implements Message {
    /** The epoch given up. */
    public long epoch;

    /** Creates a message from its parts. */
    public static Resign of(long epoch) {
        Resign message = new Resign();
        message.epoch = epoch;
        return message;
    }
}
