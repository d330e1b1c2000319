package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Estimates of base time and time per token from samples of the time to the first event. */
class PrefillTimeEstimatorTest {
    private static final double BASE_MS = 90;
    private static final double MS_PER_TOKEN = 0.025;

    private static double timeToFirstEventMs(int tokens) {
        return BASE_MS + tokens * MS_PER_TOKEN;
    }

    @Test
    void baseAndTimePerTokenAreEstimatedSeparately() {
        PrefillTimeEstimator estimator = new PrefillTimeEstimator();
        for (int i = 0; i < 100; i++) {
            estimator.addSample(1_000, timeToFirstEventMs(1_000));
            estimator.addSample(12_000, timeToFirstEventMs(12_000));
        }
        assertEquals(BASE_MS, estimator.baseMs(), 10);
        assertEquals(MS_PER_TOKEN, estimator.msPerToken(), 0.003);
    }

    @Test
    void fewSamplesDelayedByUnknownPromptsHaveLittleEffect() {
        PrefillTimeEstimator estimator = new PrefillTimeEstimator();
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 300; i++) {
            double queueDelayMs = random.nextInt(5) == 0 ? 800 : 0;
            estimator.addSample(1_000, timeToFirstEventMs(1_000) + queueDelayMs);
            estimator.addSample(12_000, timeToFirstEventMs(12_000) + queueDelayMs);
        }
        assertEquals(BASE_MS, estimator.baseMs(), 25);
        assertEquals(MS_PER_TOKEN, estimator.msPerToken(), 0.006);
    }

    @Test
    void estimatesStayWithinBounds() {
        PrefillTimeEstimator estimator = new PrefillTimeEstimator();
        for (int i = 0; i < 1_000; i++) {
            estimator.addSample(10, 1e9);
            estimator.addSample(2_000, 1e9);
        }
        assertTrue(estimator.baseMs() <= 500 && estimator.msPerToken() <= 0.2);
        for (int i = 0; i < 1_000; i++) {
            estimator.addSample(10, 0);
            estimator.addSample(2_000, 0);
        }
        assertTrue(estimator.baseMs() >= 1 && estimator.msPerToken() >= 0.002);
    }
}
