package myrtleladder.loadbalancer.server;

import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Measures how late the event loop is, by the decision module's timers: these are due dozens of
 * times a second and run at the end of each turn of the loop, after its reads.
 *
 * <p>A timer that fired late is remembered until the reads of the next turn are done, since what
 * they find has waited as long. Without that, a late timer that fires before them hides the lag.
 *
 * <p>Confined to the event loop.
 */
final class EventLoopLag {
    /** Lag after which the ends of connections may be unread, in us. 0.1 s are harmless. */
    private static final long LAGGING_US = 20_000;

    /** Time after a lag until all that had waited in the sockets is read, in us. */
    private static final long RECOVERY_US = 100_000;

    /** Before any time of the clock, and far enough from overflow for differences. */
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

    /** A timer has been set that is due at this time of the clock. */
    void timerSet(long dueUs) {
        timersDueUs.add(dueUs);
    }

    /** A timer has run: the earliest that was due. */
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
     * How long, in microseconds, what is read now may have waited unread in its socket: by as much
     * as the timers are overdue, or were in this turn.
     */
    long lagUs() {
        Long dueUs = timersDueUs.peek();
        long sinceUs = dueUs == null ? unreadSinceUs : Math.min(unreadSinceUs, dueUs);
        return sinceUs == NOTHING_UNREAD ? 0 : Math.max(0, nowUs.getAsLong() - sinceUs);
    }

    /** Whether the loop is late, or was a moment ago: what it reads now may have waited long. */
    boolean isLagging() {
        return lagUs() > LAGGING_US || nowUs.getAsLong() - lastLaggingUs < RECOVERY_US;
    }
}
