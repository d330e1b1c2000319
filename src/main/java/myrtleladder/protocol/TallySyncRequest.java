package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.List;

/**
 * Sent by a control node to another one, to exchange additions to tallies.
 *
 * <p>The receiver keeps those additions that continue what it has of their replica, without a gap.
 * A request that awaits nothing is answered at once with additions that the sender lacks. One that
 * awaits positions is answered without additions: once they are on the receiver's disk, or at once
 * if the receiver lacks some of them, or after a while in any case. Answered by {@link
 * TallySyncResponse}.
 */
public final class TallySyncRequest implements Message {
    /** What the sender has. */
    public TallyStateSummary sender = new TallyStateSummary();

    /** Additions that the receiver may lack, those of a replica in their order. */
    public List<TallyAddition> additions = new ArrayList<>();

    /** The positions that the answer waits for; empty for an answer at once. */
    public List<TallyPosition> awaited = new ArrayList<>();

    /** How many additions the response may carry at most. */
    public int maxAdditions;

    /** Creates a request for additions that the sender lacks. */
    public static TallySyncRequest pull(TallyStateSummary sender, int maxAdditions) {
        TallySyncRequest message = new TallySyncRequest();
        message.sender = sender;
        message.maxAdditions = maxAdditions;
        return message;
    }

    /** Creates a request to store additions. */
    public static TallySyncRequest push(
            TallyStateSummary sender, List<TallyAddition> additions, List<TallyPosition> awaited) {
        TallySyncRequest message = new TallySyncRequest();
        message.sender = sender;
        message.additions = additions;
        message.awaited = awaited;
        return message;
    }
}
