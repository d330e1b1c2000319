package myrtleladder.replication;

import java.util.function.Consumer;
import myrtleladder.protocol.StoredState;

/** Durable storage for the state of a control node. Called on the event loop. */
public interface StateStorage {
    /**
     * Starts to write and sync a state and returns without waiting. Saves complete in the order in
     * which they were started.
     *
     * @param done receives whether the state is durable; called once, on the event loop
     */
    void save(StoredState state, Consumer<Boolean> done);
}
