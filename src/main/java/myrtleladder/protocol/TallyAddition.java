package myrtleladder.protocol;

/**
 * One addition to a tally. Replica and sequence number are its dot: they identify it among all
 * additions of the fleet, while several dots may carry the same {@link #id}, which counts once.
 */
public final class TallyAddition {
    /** Identity of the process that accepted the addition, drawn at the start of the process. */
    public String replica = "";

    /** Number among the additions of the replica, from 1 without gaps. */
    public long sequence;

    /** Name of the tally. */
    public String tally = "";

    /** Identity that the client gave the addition, unique within the tally. */
    public String id = "";

    /** The number that is added; not negative. */
    public long amount;

    /** Creates an addition from its parts. */
    public static TallyAddition of(
            String replica, long sequence, String tally, String id, long amount) {
        TallyAddition addition = new TallyAddition();
        addition.replica = replica;
        addition.sequence = sequence;
        addition.tally = tally;
        addition.id = id;
        addition.amount = amount;
        return addition;
    }
}
