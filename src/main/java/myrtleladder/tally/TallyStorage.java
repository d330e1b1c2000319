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

    /**
     * Notes without waiting that the disk holds all that this node has to know after a restart, so
     * that it isn't taken for a lost one. Does nothing where a disk can't be lost.
     */
    default void markComplete() {}
}
