package myrtleladder.protocol;

/** A candidate asks for the promise of an epoch, or whether it would be given. */
public final class PrepareRequest implements Message {
    /** The epoch asked for. */
    public long epoch;

    /** The candidate. */
    public Member candidate;

    /** Asks only whether a primary is heard of; nothing is promised. */
    public boolean preVote;

    /** Creates a message from its parts. */
    public static PrepareRequest of(long epoch, Member candidate, boolean preVote) {
        PrepareRequest message = new PrepareRequest();
        message.epoch = epoch;
        message.candidate = candidate;
        message.preVote = preVote;
        return message;
    }
}
