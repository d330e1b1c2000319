package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Weights change by the distance of the utilisation from the mean. Picks are in proportion to
 * weight / (in-flight + 1)^bias.
 */
class EarliestDeadlineFirstSchedulerTest {
    private static final class TestCandidate extends EarliestDeadlineFirstScheduler.Candidate {
        double inFlight;
        int picks;

        @Override
        public double inFlight() {
            return inFlight;
        }
    }

    private static List<TestCandidate> candidates(int count) {
        List<TestCandidate> candidates = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            candidates.add(new TestCandidate());
        }
        return candidates;
    }

    private static void pick(
            EarliestDeadlineFirstScheduler scheduler, List<TestCandidate> candidates, int times) {
        for (int i = 0; i < times; i++) {
            scheduler.pick(candidates).picks++;
        }
    }

    @Test
    void weightChangesInProportionToDistanceFromMeanUtilisation() {
        List<TestCandidate> candidates = candidates(3);
        candidates.get(0).utilisation = 0.2;
        candidates.get(1).utilisation = 0.5;
        candidates.get(2).utilisation = 0.8;
        UtilisationWeights.update(candidates);
        assertEquals(Math.exp(0.3), candidates.get(0).weight, 1e-9);
        assertEquals(1, candidates.get(1).weight, 1e-9);
        assertEquals(Math.exp(-0.3), candidates.get(2).weight, 1e-9);
    }

    @Test
    void upstreamWithoutFreshUtilisationGetsMeanWeight() {
        List<TestCandidate> candidates = candidates(3);
        candidates.get(0).utilisation = 0.1;
        candidates.get(1).utilisation = 0.3;
        candidates.get(2).logWeight = 5;
        UtilisationWeights.update(candidates);
        assertEquals(1, candidates.get(2).weight, 1e-9);
    }

    @Test
    void weightsDecayWithoutAnyFreshUtilisation() {
        List<TestCandidate> candidates = candidates(2);
        candidates.get(0).logWeight = 1;
        UtilisationWeights.update(candidates);
        assertEquals(0.98, candidates.get(0).logWeight, 1e-9);
    }

    @Test
    void logWeightsAreBounded() {
        List<TestCandidate> candidates = candidates(2);
        candidates.get(0).utilisation = 0;
        candidates.get(1).utilisation = 1;
        for (int i = 0; i < 1_000; i++) {
            UtilisationWeights.update(candidates);
        }
        assertEquals(6, candidates.get(0).logWeight, 1e-9);
        assertEquals(-6, candidates.get(1).logWeight, 1e-9);
    }

    @Test
    void picksAreInProportionToTheWeights() {
        List<TestCandidate> candidates = candidates(3);
        candidates.get(0).weight = 3;
        candidates.get(1).weight = 2;
        candidates.get(2).weight = 1;
        pick(new EarliestDeadlineFirstScheduler(1), candidates, 600);
        assertEquals(300, candidates.get(0).picks, 3);
        assertEquals(200, candidates.get(1).picks, 3);
        assertEquals(100, candidates.get(2).picks, 3);
    }

    @Test
    void loadInFlightLowersPicksByPowerOfBias() {
        for (int bias = 1; bias <= 2; bias++) {
            List<TestCandidate> candidates = candidates(2);
            candidates.get(1).inFlight = 1;
            pick(new EarliestDeadlineFirstScheduler(bias), candidates, 1_000);
            double ratio = (double) candidates.get(0).picks / candidates.get(1).picks;
            assertEquals(Math.pow(2, bias), ratio, 0.1);
        }
    }

    @Test
    void lateCandidateDoesNotCatchUpOnMissedPicks() {
        EarliestDeadlineFirstScheduler scheduler = new EarliestDeadlineFirstScheduler(1);
        List<TestCandidate> candidates = candidates(2);
        pick(scheduler, candidates, 1_000);
        candidates.add(new TestCandidate());
        pick(scheduler, candidates, 30);
        assertTrue(candidates.get(2).picks <= 11, "picked " + candidates.get(2).picks);
    }

    @Test
    void pickWithoutCandidatesIsNull() {
        assertNull(new EarliestDeadlineFirstScheduler(1).pick(List.<TestCandidate>of()));
    }
}
