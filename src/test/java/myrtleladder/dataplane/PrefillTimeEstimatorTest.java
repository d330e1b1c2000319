package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** How long upstreams take to the first event, learnt from samples. */
class PrefillTimeEstimatorTest {
    private static final double BASE_MS = 90;
    private static final double MS_PER_TOKEN = 0.025;

    private static double took(int tokens) {
        return BASE_MS + tokens * MS_PER_TOKEN;
    }

    @Test
    void theBaseAndTheTimeForATokenAreToldApart() {
        PrefillTimeEstimator speed = new PrefillTimeEstimator();
        for (int i = 0; i < 100; i++) {
            speed.learn(1_000, took(1_000));
            speed.learn(12_000, took(12_000));
        }
        assertEquals(BASE_MS, speed.baseMs(), 10);
        assertEquals(MS_PER_TOKEN, speed.msPerToken(), 0.003);
    }

    @Test
    void aFewSamplesThatWaitedBehindUnknownPromptsChangeLittle() {
        PrefillTimeEstimator speed = new PrefillTimeEstimator();
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 300; i++) {
            double waited = random.nextInt(5) == 0 ? 800 : 0;
            speed.learn(1_000, took(1_000) + waited);
            speed.learn(12_000, took(12_000) + waited);
        }
        assertEquals(BASE_MS, speed.baseMs(), 25);
        assertEquals(MS_PER_TOKEN, speed.msPerToken(), 0.006);
    }

    @Test
    void noSampleLeadsBeyondTheBounds() {
        PrefillTimeEstimator speed = new PrefillTimeEstimator();
        for (int i = 0; i < 1_000; i++) {
            speed.learn(10, 1e9);
            speed.learn(2_000, 1e9);
        }
        assertTrue(speed.baseMs() <= 500 && speed.msPerToken() <= 0.2);
        for (int i = 0; i < 1_000; i++) {
            speed.learn(10, 0);
            speed.learn(2_000, 0);
        }
        assertTrue(speed.baseMs() >= 1 && speed.msPerToken() >= 0.002);
    }
}
