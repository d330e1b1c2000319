package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What balancers use of a quota without the primary. */
class FallbackBucketTest {
    private static final double SHARE_PER_S = 1_000;

    @Test
    void requestsOfAnySizeUseOnAverageWhatHasAccrued() {
        SplittableRandom random = new SplittableRandom(1);
        int balancers = 2_000;
        double usedUnits = 0;
        for (int balancer = 0; balancer < balancers; balancer++) {
            FallbackBucket bucket = new FallbackBucket(random.nextDouble());
            for (long nowMs = 1; nowMs <= 4_000; nowMs += 1 + random.nextLong(200)) {
                double costUnits = RequestSizes.MIXED.draw(random);
                boolean isAdmitted = bucket.acquire(costUnits, SHARE_PER_S, 0, nowMs).isAdmitted();
                usedUnits += isAdmitted ? costUnits : 0;
            }
        }
        double accruedUnits = balancers * 0.85 * SHARE_PER_S * 4;
        assertEquals(1, usedUnits / accruedUnits, 0.05);
    }

    @Test
    void nothingAccruesBeforeThePrimaryBecameUnavailable() {
        FallbackBucket bucket = new FallbackBucket(0.5);
        assertEquals(0, bucket.acquire(100, SHARE_PER_S, 5_000, 5_000).consumedUnits());
        assertEquals(85, bucket.acquire(100, SHARE_PER_S, 5_000, 5_100).consumedUnits(), 1e-6);
        assertEquals(0, bucket.acquire(100, SHARE_PER_S, 9_000, 9_000).consumedUnits());
    }

    @Test
    void unitsOfARequestThatDidNotRunAreUsedAgainUpToTheCapacity() {
        FallbackBucket bucket = new FallbackBucket(0.5);
        bucket.acquire(100, SHARE_PER_S, 0, 100);
        bucket.refund(50, SHARE_PER_S);
        assertEquals(50, bucket.acquire(100, SHARE_PER_S, 0, 100).consumedUnits(), 1e-6);
        bucket.refund(50_000, SHARE_PER_S);
        assertTrue(bucket.acquire(50_000, SHARE_PER_S, 0, 100).consumedUnits() <= SHARE_PER_S);
    }
}
