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

    /**
     * The candidate to which {@link #promisedEpoch} was promised, this node itself included; null
     * if the state was stored by a version that did not store it.
     */
    public Member promisedCandidate;

    /** The same with the upstreams known now. */
    public StoredState withInstances(List<InstanceRecord> known) {
        StoredState state = copyWithoutInstances();
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

    /** Returns whether an epoch is the one promised last, and was promised to this candidate. */
    public boolean hasPromised(long epoch, Member candidate) {
        return epoch == promisedEpoch && candidate.equals(promisedCandidate);
    }

    /** The same with another promise. */
    public StoredState withPromise(long epoch, Member candidate) {
        StoredState state = copyWithoutInstances();
        state.promisedEpoch = epoch;
        state.promisedCandidate = candidate;
        return state;
    }

    /** The same with an accepted view, and its epoch promised to its primary unless it is lower. */
    public StoredState withAcceptedView(View view) {
        StoredState state =
                view.epoch >= promisedEpoch
                        ? withPromise(view.epoch, view.primary)
                        : copyWithoutInstances();
        state.acceptedView = view;
        return state;
    }

    /** The same with other replicated state. */
    public StoredState withSnapshot(Snapshot next) {
        StoredState state = copyWithoutInstances();
        state.snapshot = next;
        return state;
    }

    private StoredState copyWithoutInstances() {
        StoredState state = of(storeId, promisedEpoch, acceptedView, snapshot);
        state.promisedCandidate = promisedCandidate;
        return state;
    }
}
