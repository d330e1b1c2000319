package myrtleladder.protocol;

import java.util.ArrayList;
import java.util.List;

/**
 * All that a control node stores on its disk. Not sent to other nodes, but encoded like a message.
 *
 * <p>Instances are not changed once created; the {@code with...} methods return copies.
 */
public final class StoredState implements Message {
    /** Identity of this store. */
    public String storeId = "";

    /** The highest epoch promised to a candidate. */
    public long promisedEpoch;

    /** The last view accepted, null if none. */
    public View acceptedView;

    /** The replicated state, as far as this node stores it. */
    public Snapshot snapshot = new Snapshot();

    /**
     * Upstream records as this replica knew them at its last save: a hint for the first moments
     * after a restart.
     */
    public List<InstanceRecord> instances = new ArrayList<>();

    /** The same with the upstreams known now. */
    public StoredState withInstances(List<InstanceRecord> known) {
        StoredState state = of(storeId, promisedEpoch, acceptedView, snapshot);
        state.instances = new ArrayList<>(known);
        return state;
    }

    /** Creates a state from its parts. */
    public static StoredState of(
            String storeId, long promisedEpoch, View acceptedView, Snapshot snapshot) {
        StoredState state = new StoredState();
        state.storeId = storeId;
        state.promisedEpoch = promisedEpoch;
        state.acceptedView = acceptedView;
        state.snapshot = snapshot;
        return state;
    }

    /** The same with another promise. */
    public StoredState withPromisedEpoch(long epoch) {
        return of(storeId, epoch, acceptedView, snapshot);
    }

    /** The same with an accepted view, and its epoch promised. */
    public StoredState withAcceptedView(View view) {
        return of(storeId, Math.max(promisedEpoch, view.epoch), view, snapshot);
    }

    /** The same with other replicated state. */
    public StoredState withSnapshot(Snapshot next) {
        return of(storeId, promisedEpoch, acceptedView, next);
    }
}
