package myrtleladder.testbed;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import myrtleladder.error.OperatorError.InvalidOption;
import myrtleladder.testbed.experiment.Experiment;
import myrtleladder.testbed.experiment.ExperimentRun;
import myrtleladder.testbed.experiment.ProgramBuild;
import myrtleladder.testbed.experiment.Verdict;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * The lab's part of the command line. Exit status: 0 as expected, 1 not as expected, 2 it can't be
 * done.
 */
@Command(
        name = "lab",
        description = "Plays experiments with fleets of balancers on this machine.",
        mixinStandardHelpOptions = true,
        subcommands = {Main.Run.class, Main.Compare.class, Main.Check.class, Main.Listing.class})
public final class Main {
    /** For the command line, which makes one. */
    public Main() {}

    /** What both ways of playing have in common. */
    private abstract static class Playing implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "FILE", description = "the experiment, as TOML")
        private Path file;

        @Option(
                names = "--out",
                paramLabel = "DIR",
                defaultValue = "target/plays",
                description = "where records, reports and logs go (default: ${DEFAULT-VALUE})")
        private Path out;

        @Option(
                names = "--plays",
                paramLabel = "N",
                description = "how often (default: what the file says)")
        private Integer plays;

        @Option(
                names = "--seed",
                paramLabel = "N",
                description =
                        "seed of the first play, the next has the next (default: what the file"
                                + " says)")
        private Long seed;

        /** The experiment of each play. */
        List<Experiment> experiments() throws Exception {
            Experiment read = Experiment.read(file);
            int count = plays == null ? read.plays() : plays;
            if (count < 1) {
                throw new InvalidOption("--plays", count + " is less than 1");
            }
            long first = seed == null ? read.seed() : seed;
            return LongStream.range(first, first + count).mapToObj(read::withSeed).toList();
        }

        Verdict play(Experiment experiment, Path build, String name) throws Exception {
            Path folder =
                    out.resolve(
                            experiment.name().replaceAll("\\W+", "-")
                                    + "-"
                                    + experiment.seed()
                                    + name);
            boolean terminal = System.console() != null;
            Verdict verdict =
                    ExperimentRun.run(
                            experiment,
                            ProgramBuild.in(build),
                            folder,
                            p -> {
                                if (terminal) {
                                    System.err.printf(
                                            Locale.ROOT,
                                            "\r%5.1f of %.0f s, %d ended, %d broken rules ",
                                            p.at() / 1e6,
                                            experiment.seconds(),
                                            p.ended(),
                                            p.violations());
                                }
                            });
            System.out.printf(
                    "%s%s, seed %d: %s%n  report: %s%n",
                    terminal ? "\n" : "",
                    experiment.name(),
                    experiment.seed(),
                    verdict.line(),
                    folder.resolve("report.html"));
            return verdict;
        }

        static String spread(List<Double> values) {
            double[] sorted = values.stream().mapToDouble(v -> v).sorted().toArray();
            double median = (sorted[(sorted.length - 1) / 2] + sorted[sorted.length / 2]) / 2;
            return String.format(
                    Locale.ROOT,
                    "median %.3f (%.3f to %.3f)",
                    median,
                    sorted[0],
                    sorted[sorted.length - 1]);
        }
    }

    /** Plays an experiment. */
    @Command(name = "run", description = "Plays one experiment.", mixinStandardHelpOptions = true)
    static final class Run extends Playing {
        @Option(
                names = "--build",
                paramLabel = "DIR",
                defaultValue = ".",
                description = "folder of the build to play (default: this one)")
        private Path build;

        @Override
        public Integer call() throws Exception {
            List<Verdict> verdicts = new ArrayList<>();
            for (Experiment experiment : experiments()) {
                verdicts.add(play(experiment, build, ""));
            }
            if (verdicts.size() > 1) {
                System.out.printf(
                        "worth served: %s, %d plays%n",
                        spread(verdicts.stream().map(Verdict::servedWorth).toList()),
                        verdicts.size());
            }
            return verdicts.stream().allMatch(v -> v.failures().isEmpty()) ? 0 : 1;
        }
    }

    /** Plays an experiment with two builds in turn, each pair with one seed. */
    @Command(
            name = "compare",
            description = "Plays an experiment with two builds in turn.",
            mixinStandardHelpOptions = true)
    static final class Compare extends Playing {
        @Parameters(index = "1", paramLabel = "A", description = "folder of one build")
        private Path a;

        @Parameters(index = "2", paramLabel = "B", description = "folder of the other build")
        private Path b;

        @Override
        public Integer call() throws Exception {
            List<Double> ratios = new ArrayList<>();
            int late = 0;
            for (Experiment experiment : experiments()) {
                Verdict first = play(experiment, a, "-a");
                Verdict second = play(experiment, b, "-b");
                if (first.late() || second.late()) {
                    late++;
                } else {
                    ratios.add(second.servedWorth() / first.servedWorth());
                }
            }
            System.out.printf(
                    "worth served, B over A: %s, %d pairs, %d left out since the lab was late%n",
                    ratios.isEmpty() ? "not known" : spread(ratios), ratios.size(), late);
            return late == 0 ? 0 : 1;
        }
    }

    /** Reads an experiment and says what is wrong with it. */
    @Command(
            name = "check",
            description = "Reads experiments and says what is wrong with them.",
            mixinStandardHelpOptions = true)
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", arity = "1..*", description = "experiments, as TOML")
        private Path[] files;

        @Override
        public Integer call() throws Exception {
            for (Path file : Arrays.asList(files)) {
                Experiment experiment = Experiment.read(file);
                System.out.println(file + ": " + experiment.name());
            }
            return 0;
        }
    }

    /** Lists the experiments of a folder. */
    @Command(
            name = "list",
            description = "Lists the experiments of a folder.",
            mixinStandardHelpOptions = true)
    static final class Listing implements Callable<Integer> {
        @Parameters(
                paramLabel = "DIR",
                defaultValue = "experiments",
                description = "default: experiments")
        private Path folder;

        @Override
        public Integer call() throws Exception {
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file :
                        files.filter(f -> f.toString().endsWith(".toml")).sorted().toList()) {
                    Experiment e = Experiment.read(file);
                    System.out.printf(
                            Locale.ROOT,
                            "%-32s %s: %d balancers, %d upstreams, %.0f s%n",
                            file,
                            e.name(),
                            e.balancers(),
                            e.upstreams(),
                            e.seconds());
                }
            }
            return 0;
        }
    }
}
