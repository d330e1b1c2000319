package myrtleladder.replication;

import myrtleladder.scheduler.Scheduler;
import myrtleladder.scheduler.TimerQueue;

/** A scheduler whose clock the test advances; all times are in milliseconds. */
public final class ManualScheduler implements Scheduler {
    /** The first time of the clock. */
    private static final long START_MS = 1_000_000;

    private final TimerQueue timers = new TimerQueue();
    private long nowMs = START_MS;

    @Override
    public long now() {
        return nowMs;
    }

    @Override
    public Timer schedule(long delayMs, Runnable task) {
        return timers.add(nowMs + Math.max(0, delayMs), task);
    }

    /** Advances the clock without running any task, as for a process that is paused. */
    public void freeze(long durationMs) {
        nowMs += durationMs;
    }

    /** Advances the clock and runs each task when it is due. */
    public void run(long durationMs) {
        long endMs = nowMs + durationMs;
        while (timers.nextDue() <= endMs) {
            nowMs = Math.max(nowMs, timers.nextDue());
            timers.poll(nowMs).run();
        }
        nowMs = endMs;
    }
}
