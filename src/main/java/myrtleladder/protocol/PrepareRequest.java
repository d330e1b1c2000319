package myrtleladder.protocol;

/**
 * Phase 1 of Paxos, or a pre-vote. Sent by a candidate to all members of the group.
 *
 * <p>The receiver promises the epoch to the candidate, on its disk, if it is above all that it
 * promised before; from then on it rejects requests of lower epochs, and prepare requests of other
 * candidates for the same epoch. For a pre-vote it answers whether it would, which it would not
 * while it hears a primary, and changes nothing. Answered by {@link PrepareResponse}.
 */
public final class PrepareRequest implements Message {
    /** Epoch to be promised. */
    public long epoch;

    /** The sending candidate. */
    public Member candidate;

    /** Whether this is a pre-vote, for which nothing is promised. */
    public boolean preVote;

    /** Creates a message with these fields. */
    public static PrepareRequest of(long epoch, Member candidate, boolean preVote) {
        PrepareRequest message = new PrepareRequest();
        message.epoch = epoch;
        message.candidate = candidate;
        message.preVote = preVote;
        return message;
    }
}
