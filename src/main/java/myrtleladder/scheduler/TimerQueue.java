package myrtleladder.scheduler;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Timers ordered by their due time, then by the order in which they were set. */
public final class TimerQueue {
    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(
                    Comparator.<Entry>comparingLong(e -> e.due).thenComparingLong(e -> e.number));
    private long number;

    private static final class Entry implements Scheduler.Timer {
        final long due;
        final long number;
        Runnable task;

        Entry(long due, long number, Runnable task) {
            this.due = due;
            this.number = number;
            this.task = task;
        }

        @Override
        public void cancel() {
            task = null;
        }
    }

    /** Adds a task that is due at the given time. */
    public Scheduler.Timer add(long due, Runnable task) {
        Entry entry = new Entry(due, number++, task);
        entries.add(entry);
        return entry;
    }

    /** The time at which the next task is due, {@link Long#MAX_VALUE} if there is none. */
    public long nextDue() {
        while (!entries.isEmpty() && entries.peek().task == null) {
            entries.poll();
        }
        return entries.isEmpty() ? Long.MAX_VALUE : entries.peek().due;
    }

    /** Takes the next task that is due by the given time, null if none is. */
    public Runnable poll(long now) {
        if (nextDue() > now) {
            return null;
        }
        Entry entry = entries.poll();
        Runnable task = entry.task;
        entry.task = null;
        return task;
    }
}
