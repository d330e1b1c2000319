package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.List;

/**
 * Additions to tallies as the log of a control node stores them. Not sent to other nodes, but
 * encoded like a message.
 */
public final class TallyBatch implements Message {
    /** The additions in the order in which they were appended. */
    public List<TallyAddition> additions = new ArrayList<>();

    /** Creates a batch of these additions. */
    public static TallyBatch of(List<TallyAddition> additions) {
        TallyBatch batch = new TallyBatch();
        batch.additions = new ArrayList<>(additions);
        return batch;
    }
}
