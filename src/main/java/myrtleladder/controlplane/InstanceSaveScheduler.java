package myrtleladder.controlplane;

import myrtleladder.replication.Replica;
import myrtleladder.scheduler.Scheduler;

/**
 * Saves the upstream instances to disk with a delay, so that one save covers many changes. The
 * delay is acceptable because the saved instances are only needed after a restart of all nodes.
 *
 * <p>Confined to the event loop.
 */
final class InstanceSaveScheduler {
    /** Delay from the first unsaved change to the save. */
    private static final long DELAY_MS = 700;

    private final Scheduler scheduler;
    private Replica replica;
    private boolean isScheduled;

    InstanceSaveScheduler(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Sets the replica that saves the instances. Must be called before any other method. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** Schedules a save unless one is already scheduled. */
    void schedule() {
        if (!isScheduled) {
            isScheduled = true;
            scheduler.schedule(DELAY_MS, this::save);
        }
    }

    private void save() {
        isScheduled = false;
        replica.saveInstancesIfIdle();
    }
}
