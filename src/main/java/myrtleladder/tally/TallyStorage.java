package myrtleladder.tally;

import java.util.List;
import java.util.function.Consumer;
import myrtleladder.protocol.TallyAddition;

/** Durable storage for the additions to tallies. Called on the event loop. */
public interface TallyStorage {
    /**
     * Starts to append and sync additions and returns without waiting. Appends complete in order.
     *
     * @param done receives whether the additions are durable; called once, on the event loop
     */
    void append(List<TallyAddition> additions, Consumer<Boolean> done);

    /**
     * Starts to record that the disk holds everything that this node needs after a restart, so that
     * it is not mistaken for a lost disk, and returns without waiting. Does nothing where a disk
     * cannot be lost.
     */
    default void markComplete() {}
}
