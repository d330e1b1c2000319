package myrtleladder.replication;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.StoredState;
import myrtleladder.scheduler.Scheduler;

/**
 * The state of this node in memory, and the saves of it that are in flight.
 *
 * <p>Invariant: a promise or acknowledgement is sent to another node only from the callback of the
 * save that made it durable, as {@link #current()} may be ahead of the storage. Saves complete in
 * the order in which they were started. Confined to the event loop; used by all roles and by {@link
 * VoterRequestHandler}.
 */
final class PersistentState {
    private final StateStorage storage;
    private final Scheduler scheduler;
    private final Supplier<List<InstanceRecord>> knownInstances;
    private final ViewTracker viewTracker;
    private final Runnable onSaveFailed;
    private StoredState current;
    private int savesInFlight;
    private long lastProgressAtMs;

    /**
     * Creates the state.
     *
     * @param initial the stored state, or the first state to write if the storage is empty
     * @param knownInstances supplies the currently known upstream records, which a replica saves
     *     with its state
     * @param onSaveFailed run when a save fails, before the callback of that save
     */
    PersistentState(
            StoredState initial,
            StateStorage storage,
            Scheduler scheduler,
            Supplier<List<InstanceRecord>> knownInstances,
            ViewTracker viewTracker,
            Runnable onSaveFailed) {
        this.current = initial;
        this.storage = storage;
        this.scheduler = scheduler;
        this.knownInstances = knownInstances;
        this.viewTracker = viewTracker;
        this.onSaveFailed = onSaveFailed;
    }

    /** Returns the latest state, which may not be durable yet. */
    StoredState current() {
        return current;
    }

    /**
     * Makes a state current and saves it, with the known upstream records if this node is a
     * replica.
     */
    void save(StoredState next, Consumer<Boolean> onSaved) {
        save(next, viewTracker.isReplica(), onSaved);
    }

    /**
     * Makes a state current and saves it with the known upstream records, for a node that becomes a
     * replica of the view being installed.
     */
    void saveAsReplica(StoredState next, Consumer<Boolean> onSaved) {
        save(next, true, onSaved);
    }

    private void save(StoredState next, boolean withInstances, Consumer<Boolean> onSaved) {
        current = next;
        if (savesInFlight == 0) {
            lastProgressAtMs = scheduler.now();
        }
        savesInFlight++;
        StoredState written = withInstances ? next.withInstances(knownInstances.get()) : next;
        storage.save(written, success -> onSaveCompleted(success, onSaved));
    }

    private void onSaveCompleted(boolean success, Consumer<Boolean> onSaved) {
        savesInFlight--;
        lastProgressAtMs = scheduler.now();
        if (!success) {
            onSaveFailed.run();
        }
        onSaved.accept(success);
    }

    /** Returns whether no save is in flight. */
    boolean isIdle() {
        return savesInFlight == 0;
    }

    /**
     * Returns whether a save is in flight and none has completed within {@link
     * ReplicationTiming#STORAGE_TIMEOUT_MS}.
     */
    boolean isStalled() {
        return savesInFlight > 0
                && scheduler.now() - lastProgressAtMs > ReplicationTiming.STORAGE_TIMEOUT_MS;
    }
}
