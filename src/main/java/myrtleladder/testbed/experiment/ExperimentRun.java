package myrtleladder.testbed.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import myrtleladder.error.OperatorError;
import myrtleladder.testbed.fake.FakeClients;
import myrtleladder.testbed.fake.TrafficProfile;
import myrtleladder.testbed.fault.FaultPlan;
import myrtleladder.testbed.fault.LinkFault;
import myrtleladder.testbed.process.BalancerFleet;

/** Plays an experiment once with one build, and leaves its record and report in a folder. */
public final class ExperimentRun {
    private static final double TRY_SHARE = 0.65;
    private static final double BACKOFF_MS = 100;
    private static final int KEYS = 500;
    private static final long WARM_UP_MICROS = 4_000_000;
    private static final double SKEW = 0.8;

    private ExperimentRun() {}

    /**
     * Returns what came of it; the folder has the record, the report, and each balancer's log. The
     * build is a folder from which its deploy file's {@code run} starts a balancer; {@code
     * listener} hears twice a second how far the play has come.
     */
    public static Verdict run(
            Experiment experiment,
            ProgramBuild build,
            Path folder,
            Consumer<BalancerFleet.Progress> listener)
            throws IOException, OperatorError, InterruptedException {
        Files.createDirectories(folder);
        FaultPlan plan = FaultTimeline.plan(experiment);
        var t = experiment.traffic();
        TrafficProfile traffic =
                new TrafficProfile(
                        t.perSecond(),
                        experiment.theClasses(),
                        t.keys() == null ? KEYS : t.keys(),
                        t.skew() == null ? SKEW : t.skew());
        FakeClients.Retries retries =
                new FakeClients.Retries(
                        t.retries() == null ? 2 : t.retries(),
                        TRY_SHARE,
                        (long) (1e3 * (t.backoffMs() == null ? BACKOFF_MS : t.backoffMs())));
        BalancerFleet.Layout layout =
                new BalancerFleet.Layout(
                        experiment.balancers(),
                        experiment.upstreams(),
                        experiment.kind(),
                        experiment.theRules(),
                        traffic,
                        retries,
                        LinkFault.NONE,
                        experiment.seed(),
                        WARM_UP_MICROS,
                        build.command(),
                        build.home(),
                        folder.toAbsolutePath());
        BalancerFleet.Result result;
        try (BalancerFleet fleet = new BalancerFleet(layout)) {
            result = fleet.play(experiment.micros(), plan, listener);
        }
        Verdict verdict = Verdict.of(experiment, result);
        RunRecord.write(folder.resolve("record.jsonl"), experiment, plan, result);
        Report.write(folder.resolve("report.html"), experiment, plan, result, verdict);
        return verdict;
    }
}
