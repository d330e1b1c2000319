package myrtleladder.loadbalancer.server;

import java.util.PriorityQueue;

/**
 * Measures how late the event loop is, by the decision module's timers: these are due dozens of
 * times a second and run at the end of each turn of the loop, after its reads.
 *
 * <p>Confined to the event loop.
 */
final class EventLoopLag {
    /** Lag after which the ends of connections may be unread, in us. Chosen: 0.1 s are harmless. */
    private static final long LAGGING_US = 20_000;

    /** Time after a lag until all that had waited in the sockets is read, in us. Chosen. */
    private static final long RECOVERY_US = 100_000;

    /** Before any time of the clock, and far enough from overflow for differences. */
    private static final long NEVER_US = Long.MIN_VALUE / 2;

    private final MonotonicClock clock;
    private final PriorityQueue<Long> timersDueUs = new PriorityQueue<>();
    private long lastLaggingUs = NEVER_US;

    EventLoopLag(MonotonicClock clock) {
        this.clock = clock;
    }

    /** A timer has been set that is due at this time of the clock. */
    void timerSet(long dueUs) {
        timersDueUs.add(dueUs);
    }

    /** A timer has run: the earliest that was due. */
    void timerFired() {
        if (clock.nowUs() - timersDueUs.poll() > LAGGING_US) {
            lastLaggingUs = clock.nowUs();
        }
    }

    /**
     * How long, in microseconds, what is read now may have waited unread in its socket: by as much
     * as the timers are overdue.
     */
    long lagUs() {
        Long dueUs = timersDueUs.peek();
        return dueUs == null ? 0 : Math.max(0, clock.nowUs() - dueUs);
    }

    /** Whether the loop is late, or was a moment ago: what it reads now may have waited long. */
    boolean isLagging() {
        return lagUs() > LAGGING_US || clock.nowUs() - lastLaggingUs < RECOVERY_US;
    }
}
