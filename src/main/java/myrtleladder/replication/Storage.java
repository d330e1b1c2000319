package myrtleladder.replication;

import java.util.function.Consumer;
import myrtleladder.protocol.StoredState;

/** Keeps the state of a control node durably. Called on the event loop. */
public interface Storage {
    /**
     * Writes and syncs a state without waiting for it; saves are carried out in order.
     *
     * @param done takes whether the state is durable; called once, on the event loop
     */
    void save(StoredState state, Consumer<Boolean> done);
}
