package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Weights change by the distance of the utilisation from the mean. Picks are in proportion to weight /
 * (in-flight + 1)^bias.
 */
class EarliestDeadlineFirstSchedulerTest {
    private static final class Up extends EarliestDeadlineFirstScheduler.Candidate {
        double inFlight;
        int picks;

        @Override
        public double inFlight() {
            return inFlight;
        }
    }

    private static List<Up> ups(int count) {
        List<Up> ups = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ups.add(new Up());
        }
        return ups;
    }

    private static void pick(EarliestDeadlineFirstScheduler schedule, List<Up> ups, int times) {
        for (int i = 0; i < times; i++) {
            schedule.pick(ups).picks++;
        }
    }

    @Test
    void whoIsBelowTheMeanGainsAndWhoIsAboveLosesInProportion() {
        List<Up> ups = ups(3);
        ups.get(0).utilisation = 0.2;
        ups.get(1).utilisation = 0.5;
        ups.get(2).utilisation = 0.8;
        UtilisationWeights.update(ups);
        assertEquals(Math.exp(0.3), ups.get(0).weight, 1e-9);
        assertEquals(1, ups.get(1).weight, 1e-9);
        assertEquals(Math.exp(-0.3), ups.get(2).weight, 1e-9);
    }

    @Test
    void whoHasNoFreshFigureTakesTheMeanWeight() {
        List<Up> ups = ups(3);
        ups.get(0).utilisation = 0.1;
        ups.get(1).utilisation = 0.3;
        ups.get(2).logWeight = 5;
        UtilisationWeights.update(ups);
        assertEquals(1, ups.get(2).weight, 1e-9);
    }

    @Test
    void withoutAnyFreshFigureWeightsForgetSlowly() {
        List<Up> ups = ups(2);
        ups.get(0).logWeight = 1;
        UtilisationWeights.update(ups);
        assertEquals(0.98, ups.get(0).logWeight, 1e-9);
    }

    @Test
    void weightsStayWithinTheirBounds() {
        List<Up> ups = ups(2);
        ups.get(0).utilisation = 0;
        ups.get(1).utilisation = 1;
        for (int i = 0; i < 1_000; i++) {
            UtilisationWeights.update(ups);
        }
        assertEquals(6, ups.get(0).logWeight, 1e-9);
        assertEquals(-6, ups.get(1).logWeight, 1e-9);
    }

    @Test
    void picksAreInProportionToTheWeights() {
        List<Up> ups = ups(3);
        ups.get(0).weight = 3;
        ups.get(1).weight = 2;
        ups.get(2).weight = 1;
        pick(new EarliestDeadlineFirstScheduler(1), ups, 600);
        assertEquals(300, ups.get(0).picks, 3);
        assertEquals(200, ups.get(1).picks, 3);
        assertEquals(100, ups.get(2).picks, 3);
    }

    @Test
    void whatIsInFlightLowersAShareByThePowerOfTheBias() {
        for (int bias = 1; bias <= 2; bias++) {
            List<Up> ups = ups(2);
            ups.get(1).inFlight = 1;
            pick(new EarliestDeadlineFirstScheduler(bias), ups, 1_000);
            double ratio = (double) ups.get(0).picks / ups.get(1).picks;
            assertEquals(Math.pow(2, bias), ratio, 0.1);
        }
    }

    @Test
    void oneThatComesLaterIsNotOwedThePast() {
        EarliestDeadlineFirstScheduler schedule = new EarliestDeadlineFirstScheduler(1);
        List<Up> ups = ups(2);
        pick(schedule, ups, 1_000);
        ups.add(new Up());
        pick(schedule, ups, 30);
        assertTrue(ups.get(2).picks <= 11, "picked " + ups.get(2).picks);
    }

    @Test
    void thereIsNoPickAmongNone() {
        assertNull(new EarliestDeadlineFirstScheduler(1).pick(List.<Up>of()));
    }
}
