package myrtleladder.tally;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import myrtleladder.protocol.TallyAddition;
import myrtleladder.scheduler.Scheduler;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Brings additions to the disk, in their order and with one append under way at a time, and knows
 * which are there. What arrives during an append goes with the next one; a failed one is repeated.
 * Confined to the event loop.
 */
final class DurableAdditions {
    private static final Logger LOG = LogManager.getLogger(DurableAdditions.class);

    /** Time after a failed append until it is repeated, in milliseconds. */
    private static final long RETRY_DELAY_MS = 200;

    private final Scheduler scheduler;
    private final TallyStorage storage;
    private final VersionVector vector = new VersionVector();
    private final Runnable onProgress;
    private final List<Waiter> waiters = new ArrayList<>();

    /** What is in memory only and not being appended. */
    private List<TallyAddition> queue = new ArrayList<>();

    private boolean isAppending;
    private int unsyncedCount;
    private long failureCount;

    /** Somebody who is told once all of a vector is durable, or after a time. */
    private static final class Waiter {
        private final VersionVector target;
        private final Runnable task;
        private Scheduler.Timer timeout;

        Waiter(VersionVector target, Runnable task) {
            this.target = target;
            this.task = task;
        }
    }

    /**
     * Creates an instance.
     *
     * @param onProgress is run after further additions have become durable
     */
    DurableAdditions(Scheduler scheduler, TallyStorage storage, Runnable onProgress) {
        this.scheduler = scheduler;
        this.storage = storage;
        this.onProgress = onProgress;
    }

    /** Takes additions that were read from the disk at the start. */
    void recover(List<TallyAddition> onDisk) {
        onDisk.forEach(addition -> vector.raise(addition.replica, addition.sequence));
    }

    /** Brings additions to the disk, each of them the next one of its replica. */
    void append(List<TallyAddition> additions) {
        queue.addAll(additions);
        unsyncedCount += additions.size();
        appendQueue();
    }

    private void appendQueue() {
        if (isAppending || queue.isEmpty()) {
            return;
        }
        isAppending = true;
        List<TallyAddition> batch = queue;
        queue = new ArrayList<>();
        storage.append(batch, isDurable -> onAppended(batch, isDurable));
    }

    private void onAppended(List<TallyAddition> batch, boolean isDurable) {
        if (!isDurable) {
            onFailed(batch);
            return;
        }
        isAppending = false;
        unsyncedCount -= batch.size();
        batch.forEach(addition -> vector.raise(addition.replica, addition.sequence));
        appendQueue();
        notifyWaiters();
        onProgress.run();
    }

    private void onFailed(List<TallyAddition> batch) {
        failureCount++;
        LOG.warn("{} additions to tallies are not on the disk yet", unsyncedCount);
        batch.addAll(queue);
        queue = batch;
        scheduler.schedule(
                RETRY_DELAY_MS,
                () -> {
                    isAppending = false;
                    appendQueue();
                });
    }

    /**
     * Runs a task once all of a vector is durable, or after a time if it is not by then; now if it
     * is already.
     */
    void whenDurable(VersionVector target, long timeoutMs, Runnable task) {
        if (vector.includes(target)) {
            task.run();
            return;
        }
        Waiter waiter = new Waiter(target, task);
        waiters.add(waiter);
        waiter.timeout =
                scheduler.schedule(
                        timeoutMs,
                        () -> {
                            waiters.remove(waiter);
                            waiter.task.run();
                        });
    }

    private void notifyWaiters() {
        List<Waiter> satisfied = new ArrayList<>();
        for (Iterator<Waiter> it = waiters.iterator(); it.hasNext(); ) {
            Waiter waiter = it.next();
            if (vector.includes(waiter.target)) {
                it.remove();
                waiter.timeout.cancel();
                satisfied.add(waiter);
            }
        }
        satisfied.forEach(waiter -> waiter.task.run());
    }

    /** Returns which additions are on the disk; a live view. */
    VersionVector vector() {
        return vector;
    }

    /** Returns the number of additions that are in memory only. */
    int unsyncedCount() {
        return unsyncedCount;
    }

    /** Returns how often an append has failed. */
    long failureCount() {
        return failureCount;
    }
}
