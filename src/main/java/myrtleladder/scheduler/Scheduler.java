package myrtleladder.scheduler;

/**
 * A monotonic clock and timers. Code that takes its time from here runs on a manual clock in tests.
 *
 * <p>Threading: to be called on the event loop only; tasks run there, one at a time.
 */
public interface Scheduler {
    /** Returns the milliseconds of a monotonic clock, whose origin is arbitrary. */
    long now();

    /**
     * Runs a task once after a delay in milliseconds; a negative delay counts as 0. Never runs it
     * within this call.
     */
    Timer schedule(long delayMs, Runnable task);

    /** A scheduled task that can be cancelled. */
    interface Timer {
        /** Cancels the task; without effect once it has run. */
        void cancel();
    }
}
