package myrtleladder.replication;

import myrtleladder.scheduler.Scheduler;
import myrtleladder.scheduler.TimerQueue;

/** A clock that moves only when told to. */
public final class ManualScheduler implements Scheduler {
    private final TimerQueue timers = new TimerQueue();
    private long now = 1_000_000;

    @Override
    public long now() {
        return now;
    }

    @Override
    public Timer schedule(long delay, Runnable task) {
        return timers.add(now + Math.max(0, delay), task);
    }

    /** Moves the clock while nothing runs, as for a process that is frozen. */
    public void freeze(long span) {
        now += span;
    }

    /** Runs all that is due within a span. */
    public void run(long span) {
        long end = now + span;
        while (timers.nextDue() <= end) {
            now = Math.max(now, timers.nextDue());
            timers.poll(now).run();
        }
        now = end;
    }
}
