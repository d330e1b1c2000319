package myrtleladder.testbed.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import myrtleladder.testbed.fake.FakeClients.Outcome;
import myrtleladder.testbed.fake.RequestClass;
import myrtleladder.testbed.process.BalancerFleet;

/**
 * What came of one play, in figures.
 *
 * @param servedWorth worth answered within its aim, over the worth asked for
 * @param latenessMs how late the lab itself sent at the 99th percentile
 * @param late whether that is beyond its bound: nothing else counts then
 * @param failures what was outside of the bounds that the experiment expects
 */
public record Verdict(
        double servedWorth,
        double latenessMs,
        int violations,
        boolean late,
        List<String> failures) {
    /**
     * A run in which the lab was later than this tells of the lab, unless the experiment says
     * otherwise.
     */
    private static final double LATEST_MS = 2;

    private static final double P99 = 0.99;

    static Verdict of(Experiment experiment, BalancerFleet.Result result) {
        List<RequestClass> classes = experiment.theClasses();
        double asked = 0;
        double served = 0;
        for (BalancerFleet.Ended e : result.ended()) {
            double worth = classes.get(e.arrival().classIndex()).worth();
            asked += worth;
            served += e.outcome() == Outcome.SERVED ? worth : 0;
        }
        double part = asked == 0 ? 1 : served / asked;
        double late = result.lateness(P99) / 1e3;
        var expect =
                experiment.expect() == null
                        ? new Experiment.ExpectPart(null, null, null)
                        : experiment.expect();
        List<String> failures = new ArrayList<>();
        int most = expect.violations() == null ? 0 : expect.violations();
        if (result.violations().size() > most) {
            failures.add(
                    result.violations().size()
                            + " broken rules, the first: "
                            + result.violations().get(0));
        }
        if (expect.servedWorth() != null && part < expect.servedWorth()) {
            failures.add(
                    String.format(
                            Locale.ROOT,
                            "served %.3f of the worth, %.3f is expected",
                            part,
                            expect.servedWorth()));
        }
        double latest = expect.latenessP99Ms() == null ? LATEST_MS : expect.latenessP99Ms();
        if (late > latest) {
            failures.add(
                    String.format(
                            Locale.ROOT,
                            "the lab sent %.1f ms late at the 99th percentile, so the run tells"
                                    + " nothing",
                            late));
        }
        return new Verdict(part, late, result.violations().size(), late > latest, failures);
    }

    /** One line for people. */
    public String line() {
        String found = failures.isEmpty() ? "as expected" : String.join("; ", failures);
        return String.format(
                Locale.ROOT,
                "served %.3f of the worth, %d broken rules, lab %.1f ms late: %s",
                servedWorth,
                violations,
                latenessMs,
                found);
    }
}
