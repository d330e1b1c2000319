package myrtleladder.tally;

import java.util.List;
import java.util.function.Consumer;
import myrtleladder.protocol.TallyAddition;

/** Keeps the additions to tallies durably. Called on the event loop. */
public interface TallyStorage {
    /**
     * Appends additions and syncs them without waiting; appends complete in order.
     *
     * @param done takes whether the additions are durable; called once, on the event loop
     */
    void append(List<TallyAddition> additions, Consumer<Boolean> done);
}
