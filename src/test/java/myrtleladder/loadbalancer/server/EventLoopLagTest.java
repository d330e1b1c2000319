package myrtleladder.loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Queue;
import org.junit.jupiter.api.Test;

/** Lag of the event loop, with reads before timers and timers before reads. */
class EventLoopLagTest {
    private static final long STALL_US = 600_000;

    private final Queue<Runnable> afterNextReads = new ArrayDeque<>();
    private long nowUs = 1_000_000;
    private final EventLoopLag lag = new EventLoopLag(() -> nowUs, afterNextReads::add);

    @Test
    void overdueTimerTellsHowLongAReadMayHaveWaited() {
        lag.timerSet(nowUs + 10_000);
        assertEquals(0, lag.lagUs());
        nowUs += 10_000 + STALL_US;
        assertEquals(STALL_US, lag.lagUs());
        assertTrue(lag.isLagging());
    }

    @Test
    void lagIsNotHiddenByALateTimerThatFiresBeforeTheReads() {
        lag.timerSet(nowUs);
        lag.timerSet(nowUs + 100);
        nowUs += STALL_US;
        lag.timerFired();
        lag.timerSet(nowUs + 10_000);
        lag.timerFired();
        assertEquals(STALL_US, lag.lagUs());
        assertEquals(1, afterNextReads.size());
        afterNextReads.remove().run();
        assertEquals(0, lag.lagUs(), "all that had waited is read");
        assertTrue(lag.isLagging());
    }

    @Test
    void timersInTimeTellOfNoLag() {
        for (int i = 0; i < 10; i++) {
            lag.timerSet(nowUs + 10_000);
            nowUs += 11_000;
            lag.timerFired();
        }
        assertEquals(0, lag.lagUs());
        assertFalse(lag.isLagging());
        assertTrue(afterNextReads.isEmpty());
    }
}
