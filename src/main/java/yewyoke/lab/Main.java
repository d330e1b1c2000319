package yewyoke.lab;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import yewyoke.lab.experiment.Build;
import yewyoke.lab.experiment.Experiment;
import yewyoke.lab.experiment.Play;
import yewyoke.lab.experiment.Verdict;

/** The command line of the lab. Exit status: 0 as expected, 1 not as expected, 2 it can't be done. */
@Command(name = "lab", description = "Plays experiments with fleets of balancers on this machine.",
        mixinStandardHelpOptions = true, subcommands = {Main.Run.class, Main.Compare.class, Main.Check.class,
            Main.Listing.class})
public final class Main {
    private Main() { }

    /** Runs one command and exits with its status. */
    public static void main(String[] args) {
        System.setProperty("java.awt.headless", "true");
        System.exit(new CommandLine(new Main()).setExecutionExceptionHandler((e, cmd, parsed) -> {
            cmd.getErr().println("lab: " + (e.getMessage() == null ? e : e.getMessage()));
            return 2;
        }).execute(args));
    }

    /** Plays an experiment. */
    @Command(name = "run", description = "Plays one experiment.", mixinStandardHelpOptions = true)
    static final class Run implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "the experiment, as TOML")
        private Path file;
        @Option(names = "--build", paramLabel = "DIR", defaultValue = ".",
                description = "folder of the build to play (default: this one)")
        private Path build;
        @Option(names = "--out", paramLabel = "DIR", defaultValue = "target/plays",
                description = "where record, report and logs go (default: ${DEFAULT-VALUE})")
        private Path out;

        @Override public Integer call() throws Exception {
            Experiment experiment = Experiment.read(file);
            Path folder = out.resolve(experiment.name().replaceAll("\\W+", "-"));
            System.out.printf(Locale.ROOT, "%s: %d balancers, %d upstreams, %.0f s ...%n", experiment.name(),
                    experiment.balancers(), experiment.upstreams(), experiment.seconds());
            Verdict verdict = Play.run(experiment, Build.in(build), folder);
            System.out.println(verdict.line());
            System.out.println("report: " + folder.resolve("report.html"));
            return verdict.failures().isEmpty() ? 0 : 1;
        }
    }

    /** Plays an experiment with two builds in turn. */
    @Command(name = "compare", description = "Plays an experiment with two builds in turn.",
            mixinStandardHelpOptions = true)
    static final class Compare implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "FILE", description = "the experiment, as TOML")
        private Path file;
        @Parameters(index = "1", paramLabel = "A", description = "folder of one build")
        private Path a;
        @Parameters(index = "2", paramLabel = "B", description = "folder of the other build")
        private Path b;
        @Option(names = "--plays", paramLabel = "N", defaultValue = "3",
                description = "plays of each (default: ${DEFAULT-VALUE})")
        private int plays;
        @Option(names = "--out", paramLabel = "DIR", defaultValue = "target/plays",
                description = "where records, reports and logs go (default: ${DEFAULT-VALUE})")
        private Path out;

        @Override public Integer call() throws Exception {
            Experiment experiment = Experiment.read(file);
            List<Double> ratios = new ArrayList<>();
            for (int i = 0; i < plays; i++) {
                Verdict first = Play.run(experiment, Build.in(a), out.resolve("a" + i));
                Verdict second = Play.run(experiment, Build.in(b), out.resolve("b" + i));
                System.out.println("A " + first.line());
                System.out.println("B " + second.line());
                ratios.add(second.servedWorth() / first.servedWorth());
            }
            double[] sorted = ratios.stream().mapToDouble(r -> r).sorted().toArray();
            System.out.printf(Locale.ROOT, "worth served, B over A: median %.3f (%.3f to %.3f), %d pairs%n",
                    sorted[sorted.length / 2], sorted[0], sorted[sorted.length - 1], sorted.length);
            return 0;
        }
    }

    /** Reads an experiment and says what is wrong with it. */
    @Command(name = "check", description = "Reads experiments and says what is wrong with them.",
            mixinStandardHelpOptions = true)
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", arity = "1..*", description = "experiments, as TOML")
        private Path[] files;

        @Override public Integer call() throws Exception {
            for (Path file : Arrays.asList(files)) {
                Experiment experiment = Experiment.read(file);
                System.out.println(file + ": " + experiment.name());
            }
            return 0;
        }
    }

    /** Lists the experiments of a folder. */
    @Command(name = "list", description = "Lists the experiments of a folder.",
            mixinStandardHelpOptions = true)
    static final class Listing implements Callable<Integer> {
        @Parameters(paramLabel = "DIR", defaultValue = "experiments", description = "default: experiments")
        private Path folder;

        @Override public Integer call() throws Exception {
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file : files.filter(f -> f.toString().endsWith(".toml")).sorted().toList()) {
                    Experiment e = Experiment.read(file);
                    System.out.printf(Locale.ROOT, "%-32s %s: %d balancers, %d upstreams, %.0f s%n", file,
                            e.name(), e.balancers(), e.upstreams(), e.seconds());
                }
            }
            return 0;
        }
    }
}
