package yewyoke.message;

/** The whole state for a member that is to be a replica of the view of this epoch. */
public final class Install implements Message {
    /** The epoch. */
    public long epoch;

    /** The state. */
    public Snapshot snapshot;

    /** Creates a message from its parts. */
    public static Install of(long epoch, Snapshot snapshot) {
        Install message = new Install();
        message.epoch = epoch;
        message.snapshot = snapshot;
        return message;
    }
}
