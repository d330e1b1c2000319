package myrtleladder.protocol;

/** An entry of a version vector: how many additions of a replica are known, from the first on. */
public final class TallyPosition {
    /** Identity of the process that accepted the additions. */
    public String replica = "";

    /** The sequence number of the last addition known; 0 for none. */
    public long sequence;

    /** Creates a position from its parts. */
    public static TallyPosition of(String replica, long sequence) {
        TallyPosition position = new TallyPosition();
        position.replica = replica;
        position.sequence = sequence;
        return position;
    }
}
