package myrtleladder.replication;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.StoredState;
import myrtleladder.scheduler.Scheduler;

/**
 * The state of this node: what is in memory is on its way to the disk, and an answer that promises
 * something waits until its save is done.
 */
final class StateKeeper {
    private final Storage storage;
    private final Scheduler scheduler;
    private final Supplier<List<InstanceRecord>> instances;
    private final Runnable failed;
    private StoredState stored;
    private int saving;
    private long savingSince;

    /** {@code failed} is run when the disk refuses a save. */
    StateKeeper(
            StoredState first,
            Storage storage,
            Scheduler scheduler,
            Supplier<List<InstanceRecord>> instances,
            Runnable failed) {
        this.stored = first;
        this.storage = storage;
        this.scheduler = scheduler;
        this.instances = instances;
        this.failed = failed;
    }

    /** The newest state; its last parts may not be on the disk yet. */
    StoredState stored() {
        return stored;
    }

    /**
     * Takes a state and writes it; {@code asReplica} says that this node holds copies, of upstreams
     * too.
     */
    void save(StoredState next, boolean asReplica, Consumer<Boolean> done) {
        stored = next;
        if (saving++ == 0) {
            savingSince = scheduler.now();
        }
        StoredState whole = asReplica ? next.withInstances(instances.get()) : next;
        storage.save(whole, ok -> saved(ok, done));
    }

    private void saved(boolean ok, Consumer<Boolean> done) {
        saving--;
        savingSince = scheduler.now();
        if (!ok) {
            failed.run();
        }
        done.accept(ok);
    }

    /** Whether nothing is on its way to the disk. */
    boolean idle() {
        return saving == 0;
    }

    /** Whether the disk has not answered for too long. */
    boolean stuck() {
        return saving > 0 && scheduler.now() - savingSince > ReplicaTimes.DISK_PATIENCE;
    }
}
