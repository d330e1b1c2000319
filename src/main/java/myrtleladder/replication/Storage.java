package myrtleladder.replication;

import java.util.function.Consumer;
import myrtleladder.protocol.StoredState;

/** Keeps the state of a control node over a loss of power. */
public interface Storage {
    /** Writes and syncs a state; tells whether that succeeded. Calls are carried out in order. */
    void save(StoredState state, Consumer<Boolean> done);
}
