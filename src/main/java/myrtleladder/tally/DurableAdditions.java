package myrtleladder.tally;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import myrtleladder.protocol.TallyAddition;
import myrtleladder.scheduler.Scheduler;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Appends additions to the disk in order, with one append in flight at a time, and tracks which
 * additions are durable. Additions that arrive during an append are written by the next one; a
 * failed append is retried. Confined to the event loop.
 */
final class DurableAdditions {
    private static final Logger LOG = LogManager.getLogger(DurableAdditions.class);

    /** Delay before a failed append is retried. */
    private static final long RETRY_DELAY_MS = 200;

    private final Scheduler scheduler;
    private final TallyStorage storage;
    private final VersionVector durableVector = new VersionVector();
    private final Runnable onProgress;
    private final List<Waiter> waiters = new ArrayList<>();

    /** The additions that wait for the next append. Those of the append in flight are not in it. */
    private List<TallyAddition> queue = new ArrayList<>();

    private boolean isAppending;
    private int unsyncedCount;
    private long failureCount;

    /** A task that runs when all additions of a vector are durable or its timeout has passed. */
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
     * @param onProgress runs after further additions have become durable
     */
    DurableAdditions(Scheduler scheduler, TallyStorage storage, Runnable onProgress) {
        this.scheduler = scheduler;
        this.storage = storage;
        this.onProgress = onProgress;
    }

    /** Marks additions that were read from the disk at startup as durable. */
    void recover(List<TallyAddition> additionsOnDisk) {
        additionsOnDisk.forEach(
                addition -> durableVector.raise(addition.replica, addition.sequence));
    }

    /**
     * Queues additions to be appended to the disk. Each addition must have the next sequence number
     * of its replica.
     */
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
            onAppendFailed(batch);
            return;
        }
        isAppending = false;
        unsyncedCount -= batch.size();
        batch.forEach(addition -> durableVector.raise(addition.replica, addition.sequence));
        appendQueue();
        notifyWaiters();
        onProgress.run();
    }

    private void onAppendFailed(List<TallyAddition> batch) {
        failureCount++;
        LOG.warn("tallies: append failed, {} additions are not on the disk yet", unsyncedCount);
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
     * Runs a task once: as soon as all additions of a vector are durable, which may be immediately,
     * or when the timeout has passed.
     */
    void whenDurable(VersionVector target, long timeoutMs, Runnable task) {
        if (durableVector.includes(target)) {
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
            if (durableVector.includes(waiter.target)) {
                it.remove();
                waiter.timeout.cancel();
                satisfied.add(waiter);
            }
        }
        satisfied.forEach(waiter -> waiter.task.run());
    }

    /** Returns the vector of the durable additions, which later appends raise. Not a copy. */
    VersionVector durableVector() {
        return durableVector;
    }

    /** Returns the number of additions that are queued or in the append in flight. */
    int unsyncedCount() {
        return unsyncedCount;
    }

    /** Returns the number of failed appends. */
    long failureCount() {
        return failureCount;
    }
}
