package myrtleladder.scheduler;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Timers ordered by their due time, then by the order in which they were added. Cancelled timers
 * stay in the queue until they are due, without their task.
 *
 * <p>Threading: not thread-safe; confined to the event loop.
 */
public final class TimerQueue {
    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(
                    Comparator.<Entry>comparingLong(e -> e.dueMs)
                            .thenComparingLong(e -> e.sequence));
    private long nextSequence;

    private static final class Entry implements Scheduler.Timer {
        final long dueMs;
        final long sequence;
        Runnable task;

        Entry(long dueMs, long sequence, Runnable task) {
            this.dueMs = dueMs;
            this.sequence = sequence;
            this.task = task;
        }

        @Override
        public void cancel() {
            task = null;
        }
    }

    /** Adds a task that is due at a time of the clock, in milliseconds. */
    public Scheduler.Timer add(long dueMs, Runnable task) {
        Entry entry = new Entry(dueMs, nextSequence++, task);
        entries.add(entry);
        return entry;
    }

    /**
     * Returns when the next task is due, in milliseconds; {@link Long#MAX_VALUE} if there is none.
     */
    public long nextDue() {
        while (!entries.isEmpty() && entries.peek().task == null) {
            entries.poll();
        }
        return entries.isEmpty() ? Long.MAX_VALUE : entries.peek().dueMs;
    }

    /** Removes and returns the next task that is due by the given time, null if none is. */
    public Runnable poll(long nowMs) {
        if (nextDue() > nowMs) {
            return null;
        }
        Entry entry = entries.poll();
        Runnable task = entry.task;
        entry.task = null;
        return task;
    }
}
