package myrtleladder.replication;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.StoredState;
import myrtleladder.scheduler.Scheduler;

/**
 * The state of this node in memory and on its way to the storage.
 *
 * <p>Invariant: whatever is promised or acknowledged to another node waits for the callback of the
 * save that made it durable; {@link #current()} may be ahead of the storage. Saves complete in the
 * order in which they were begun. Confined to the event loop; called by all roles and by {@link
 * VoterRequestHandler}.
 */
final class PersistentState {
    private final Storage storage;
    private final Scheduler scheduler;
    private final Supplier<List<InstanceRecord>> instances;
    private final ViewTracker views;
    private final Runnable onSaveFailed;
    private StoredState current;
    private int savesInFlight;
    private long lastProgressAtMs;

    /**
     * Creates the state.
     *
     * @param initial what the storage holds, or what is to be written first
     * @param instances the upstreams known now, saved along with the state of a replica
     * @param onSaveFailed run when a save fails, before the callback of that save
     */
    PersistentState(
            StoredState initial,
            Storage storage,
            Scheduler scheduler,
            Supplier<List<InstanceRecord>> instances,
            ViewTracker views,
            Runnable onSaveFailed) {
        this.current = initial;
        this.storage = storage;
        this.scheduler = scheduler;
        this.instances = instances;
        this.views = views;
        this.onSaveFailed = onSaveFailed;
    }

    /** Returns the newest state, which may not be durable yet. */
    StoredState current() {
        return current;
    }

    /** Makes a state current and saves it, with the known upstreams if this node is a replica. */
    void save(StoredState next, Consumer<Boolean> onSaved) {
        save(next, views.isReplica(), onSaved);
    }

    /** Saves a state that makes this node a replica of the view to be installed. */
    void saveAsReplica(StoredState next, Consumer<Boolean> onSaved) {
        save(next, true, onSaved);
    }

    private void save(StoredState next, boolean withInstances, Consumer<Boolean> onSaved) {
        current = next;
        if (savesInFlight == 0) {
            lastProgressAtMs = scheduler.now();
        }
        savesInFlight++;
        StoredState written = withInstances ? next.withInstances(instances.get()) : next;
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

    /** Returns whether a save is in flight and the storage completed none for too long. */
    boolean isStalled() {
        return savesInFlight > 0
                && scheduler.now() - lastProgressAtMs > ReplicationTiming.STORAGE_TIMEOUT_MS;
    }
}
