package myrtleladder.scheduler;

/**
 * A steady clock and timers whose tasks run one at a time, on the thread that runs everything else.
 */
public interface Scheduler {
    /** Milliseconds of a clock that only advances. */
    long now();

    /** Runs a task once after a delay in milliseconds. */
    Timer schedule(long delay, Runnable task);

    /** A scheduled task that may be called off. */
    interface Timer {
        /** Calls the task off; without effect once it has run. */
        void cancel();
    }
}
