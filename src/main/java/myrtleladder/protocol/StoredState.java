package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.List;

/** All that a control node keeps on its disk; instances are not changed once made. */
public final class StoredState implements Message {
    /** Identity of this store. */
    public String store = "";

    /** The highest epoch promised to a candidate. */
    public long promised;

    /** The last view accepted, null if none. */
    public View accepted;

    /** The replicated state, as far as this node holds it. */
    public Snapshot snapshot = new Snapshot();

    /**
     * Upstreams as this replica knew them at its last save: a hint for the first moments after a
     * restart.
     */
    public List<InstanceRecord> instances = new ArrayList<>();

    /** The same with the upstreams known now. */
    public StoredState withInstances(List<InstanceRecord> known) {
        StoredState state = of(store, promised, accepted, snapshot);
        state.instances = new ArrayList<>(known);
        return state;
    }

    /** Creates a state from its parts. */
    public static StoredState of(String store, long promised, View accepted, Snapshot snapshot) {
        StoredState state = new StoredState();
        state.store = store;
        state.promised = promised;
        state.accepted = accepted;
        state.snapshot = snapshot;
        return state;
    }

    /** The same with another promise. */
    public StoredState withPromised(long epoch) {
        return of(store, epoch, accepted, snapshot);
    }

    /** The same with an accepted view, and its epoch promised. */
    public StoredState withAccepted(View view) {
        return of(store, Math.max(promised, view.epoch), view, snapshot);
    }

    /** The same with other replicated state. */
    public StoredState withSnapshot(Snapshot next) {
        return of(store, promised, accepted, next);
    }
}
