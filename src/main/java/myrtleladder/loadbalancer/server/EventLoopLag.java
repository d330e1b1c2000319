package myrtleladder.loadbalancer.server;

import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Measures the lag of the event loop by the decision module's timers, which fire dozens of times a
 * second and run at the end of each loop iteration, after its reads.
 *
 * <p>The due time of a late timer is kept until the reads of the next iteration are done, since the
 * data read there has waited as long. Otherwise a late timer that fires before those reads would
 * hide the lag.
 *
 * <p>Confined to the event loop.
 */
final class EventLoopLag {
    /** Lag from which closed connections may be undetected, in us. 0.1 s are harmless. */
    private static final long LAGGING_US = 20_000;

    /** Time after a lag until all data that waited in the sockets is read, in us. */
    private static final long RECOVERY_US = 100_000;

    /** Earlier than any clock value; halved so that differences do not overflow. */
    private static final long NEVER_US = Long.MIN_VALUE / 2;

    private static final long NOTHING_UNREAD = Long.MAX_VALUE;

    private final LongSupplier nowUs;
    private final Consumer<Runnable> afterNextReads;
    private final PriorityQueue<Long> timersDueUs = new PriorityQueue<>();
    private long unreadSinceUs = NOTHING_UNREAD;
    private long lastLaggingUs = NEVER_US;

    /**
     * Creates a measurement.
     *
     * @param nowUs the clock of the timers' due times, in microseconds
     * @param afterNextReads runs a task on the loop after the reads of its next turn
     */
    EventLoopLag(LongSupplier nowUs, Consumer<Runnable> afterNextReads) {
        this.nowUs = nowUs;
        this.afterNextReads = afterNextReads;
    }

    /** Records a timer that is due at this time of the clock. */
    void timerSet(long dueUs) {
        timersDueUs.add(dueUs);
    }

    /** Records that the timer with the earliest due time has run. */
    void timerFired() {
        long dueUs = timersDueUs.poll();
        if (nowUs.getAsLong() - dueUs <= LAGGING_US) {
            return;
        }
        lastLaggingUs = nowUs.getAsLong();
        if (unreadSinceUs == NOTHING_UNREAD) {
            afterNextReads.accept(() -> unreadSinceUs = NOTHING_UNREAD);
        }
        unreadSinceUs = Math.min(unreadSinceUs, dueUs);
    }

    /**
     * Returns how long, in microseconds, data read now may have waited in its socket: the time by
     * which timers are overdue, or were overdue in this iteration.
     */
    long lagUs() {
        Long dueUs = timersDueUs.peek();
        long sinceUs = dueUs == null ? unreadSinceUs : Math.min(unreadSinceUs, dueUs);
        return sinceUs == NOTHING_UNREAD ? 0 : Math.max(0, nowUs.getAsLong() - sinceUs);
    }

    /** Whether the loop lags or has lagged recently, so that data read now may be old. */
    boolean isLagging() {
        return lagUs() > LAGGING_US || nowUs.getAsLong() - lastLaggingUs < RECOVERY_US;
    }
}
