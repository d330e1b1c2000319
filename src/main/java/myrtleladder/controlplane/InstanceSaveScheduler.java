package myrtleladder.controlplane;

import myrtleladder.replication.Replica;
import myrtleladder.scheduler.Scheduler;

/**
 * Saves the upstream instances a while after they changed, many changes at once: only a restart of
 * all nodes needs them from the disk.
 *
 * <p>Confined to the event loop.
 */
final class InstanceSaveScheduler {
    /** The time from a change to its save. */
    private static final long DELAY_MS = 700;

    private final Scheduler scheduler;
    private Replica replica;
    private boolean isScheduled;

    InstanceSaveScheduler(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Sets the replica that saves; has to precede all else. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** Schedules a save unless one is scheduled. */
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
