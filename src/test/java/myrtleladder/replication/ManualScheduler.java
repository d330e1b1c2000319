package myrtleladder.replication;

import myrtleladder.scheduler.Scheduler;
import myrtleladder.scheduler.TimerQueue;

/** A scheduler whose clock is advanced by the test. All times are in milliseconds. */
public final class ManualScheduler implements Scheduler {
    /** The initial time of the clock. */
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

    /** Advances the clock without running any task, as if the process were paused. */
    public void freeze(long durationMs) {
        nowMs += durationMs;
    }

    /** Advances the clock and runs each task at its due time. */
    public void run(long durationMs) {
        long endMs = nowMs + durationMs;
        while (timers.nextDue() <= endMs) {
            nowMs = Math.max(nowMs, timers.nextDue());
            timers.poll(nowMs).run();
        }
        nowMs = endMs;
    }
}
