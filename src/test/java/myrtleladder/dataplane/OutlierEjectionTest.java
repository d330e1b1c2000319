package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Ejections of an upstream after failures. */
class OutlierEjectionTest {
    private static final long NOW_MS = 10_000;

    private final OutlierEjection ejection = new OutlierEjection();

    @Test
    void thirdConsecutiveFailureLeadsToEjection() {
        assertFalse(ejection.recordFailure());
        assertFalse(ejection.recordFailure());
        assertTrue(ejection.recordFailure());
    }

    @Test
    void successResetsConsecutiveFailures() {
        ejection.recordFailure();
        ejection.recordFailure();
        ejection.recordSuccess();
        assertFalse(ejection.recordFailure());
    }

    @Test
    void ejectionTimeDoublesUpToAMaximumAndIsResetBySuccess() {
        long nowMs = NOW_MS;
        for (long durationMs : new long[] {700, 1_400, 2_800, 5_600, 6_000, 6_000}) {
            assertTrue(ejection.eject(nowMs));
            assertTrue(ejection.isEjected(nowMs + durationMs - 1));
            assertFalse(ejection.isEjected(nowMs + durationMs));
            assertTrue(ejection.isProbing());
            nowMs += durationMs;
        }
        ejection.recordSuccess();
        assertFalse(ejection.isProbing());
        assertTrue(ejection.eject(nowMs));
        assertFalse(ejection.isEjected(nowMs + 700));
    }

    @Test
    void ejectionOfAnEjectedUpstreamHasNoEffect() {
        assertTrue(ejection.eject(NOW_MS));
        assertFalse(ejection.eject(NOW_MS + 100));
        assertFalse(ejection.isEjected(NOW_MS + 700));
    }

    @Test
    void errorRateIsAMovingAverage() {
        ejection.recordFailure();
        assertEquals(0.2, ejection.errorRate(), 1e-9);
        ejection.recordSuccess();
        assertEquals(0.16, ejection.errorRate(), 1e-9);
    }
}
