package myrtleladder.testbed.experiment;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.nio.file.Path;
import java.util.List;
import myrtleladder.error.OperatorError;
import myrtleladder.error.OperatorError.InvalidConfigurationFile;
import myrtleladder.testbed.checker.Checker.Repeat;
import myrtleladder.testbed.checker.Rules;
import myrtleladder.testbed.fake.RequestClass;
import myrtleladder.testbed.fake.UpstreamProfile;
import myrtleladder.toml.TomlFile;

/**
 * An experiment as its TOML file has it; what the file leaves out has the value that stands here.
 */
public record Experiment(
        @JsonProperty(required = true) String name,
        long seed,
        Integer plays,
        double seconds,
        int balancers,
        int upstreams,
        TrafficPart traffic,
        @JsonProperty("class") List<ClassPart> classes,
        UpstreamPart upstream,
        RulesPart rules,
        @JsonProperty("fault") List<FaultPart> faults,
        ExpectPart expect) {
    private static final double MS = 1_000;
    private static final double SECOND = 1e6;
    private static final int MOST_PROCESSES = 64;
    private static final int MOST_UPSTREAMS = 500;
    private static final int MOST_PLAYS = 100;

    /** What clients ask for. */
    public record TrafficPart(
            @JsonProperty("per-second") Double perSecond,
            Integer keys,
            Double skew,
            Integer retries,
            @JsonProperty("backoff-ms") Double backoffMs) {}

    /** A class of requests. */
    public record ClassPart(
            @JsonProperty(required = true) String name,
            Repeat repeat,
            Double share,
            @JsonProperty("work-ms") Double workMs,
            @JsonProperty("aim-ms") Double aimMs,
            @JsonProperty("give-up-ms") Double giveUpMs,
            Double worth,
            @JsonProperty("memory-ms") Double memoryMs) {}

    /** The machines of the upstreams. */
    public record UpstreamPart(
            Integer cores,
            Double speed,
            Integer queue,
            Integer connections,
            @JsonProperty("error-chance") Double errorChance,
            @JsonProperty("key-saving") Double keySaving,
            @JsonProperty("report-ms") Double reportMs) {}

    /** The figures of the rules. */
    public record RulesPart(
            @JsonProperty("answer-slack-ms") Double answerSlackMs,
            @JsonProperty("drain-grace-ms") Double drainGraceMs,
            @JsonProperty("start-capacity") Double startCapacity,
            @JsonProperty("cold-ms") Double coldMs,
            @JsonProperty("fall-multiple") Double fallMultiple,
            @JsonProperty("fall-ms") Double fallMs) {}

    /** One line of the timeline: what is done to whom, one after the other {@code every-ms}. */
    public record FaultPart(
            @JsonProperty(value = "at-s", required = true) double atS,
            @JsonProperty(value = "do", required = true) String what,
            List<String> who,
            List<String> from,
            List<String> to,
            Boolean both,
            @JsonProperty("every-ms") double everyMs,
            @JsonProperty("delay-ms") double delayMs,
            @JsonProperty("jitter-ms") double jitterMs,
            double loss,
            double duplicate,
            @JsonProperty("kb-per-s") double kbPerS) {}

    /** Bounds; a run outside of them fails. */
    public record ExpectPart(
            Integer violations,
            @JsonProperty("served-worth") Double servedWorth,
            @JsonProperty("lateness-p99-ms") Double latenessP99Ms) {}

    /** Reads and checks a file; a key that is not known here is refused. */
    public static Experiment read(Path file) throws OperatorError {
        Experiment read = TomlFile.read(file, Experiment.class);
        read.check(file);
        return read;
    }

    private void check(Path file) throws InvalidConfigurationFile {
        TomlFile.checkRange(file, "seconds", seconds, 1, 3_600);
        TomlFile.checkRange(file, "plays", plays(), 1, MOST_PLAYS);
        TomlFile.checkRange(file, "balancers", balancers, 1, MOST_PROCESSES);
        TomlFile.checkRange(file, "upstreams", upstreams, 1, MOST_UPSTREAMS);
        if (traffic == null || traffic.perSecond() == null) {
            throw new InvalidConfigurationFile(file, 0, "traffic.per-second", "is missing");
        }
        TomlFile.checkRange(file, "traffic.per-second", traffic.perSecond(), 0.1, 100_000);
        if (classes == null || classes.isEmpty()) {
            throw new InvalidConfigurationFile(file, 0, "class", "there has to be one at least");
        }
        try {
            kind();
            FaultTimeline.plan(this);
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigurationFile(file, 0, "", e.getMessage());
        }
    }

    private static double or(Number value, double otherwise) {
        return value == null ? otherwise : value.doubleValue();
    }

    /** How often it is played if nothing else is asked for, each time with the next seed. */
    @Override
    public Integer plays() {
        return plays == null ? 1 : plays;
    }

    /** The same with another seed. */
    public Experiment withSeed(long other) {
        return new Experiment(
                name, other, plays, seconds, balancers, upstreams, traffic, classes, upstream,
                rules, faults, expect);
    }

    /** The rules in force. */
    public Rules theRules() {
        RulesPart r = rules == null ? new RulesPart(null, null, null, null, null, null) : rules;
        return new Rules(
                (long) (or(r.answerSlackMs(), 500) * MS),
                (long) (or(r.drainGraceMs(), 2_000) * MS),
                or(r.startCapacity(), 0.3),
                (long) (or(r.coldMs(), 8_000) * MS),
                or(r.fallMultiple(), 2.5),
                (long) (or(r.fallMs(), 1_000) * MS));
    }

    /** The machines of the upstreams. */
    public UpstreamProfile kind() {
        UpstreamPart u =
                upstream == null
                        ? new UpstreamPart(null, null, null, null, null, null, null)
                        : upstream;
        long report = (long) (or(u.reportMs(), 900) * MS);
        return new UpstreamProfile(
                (int) or(u.cores(), 2),
                or(u.speed(), 1),
                (int) or(u.queue(), 40),
                (int) or(u.connections(), 1_000),
                (long) (8 * SECOND),
                100,
                or(u.keySaving(), 0.4),
                report,
                report / 3,
                or(u.errorChance(), 0),
                theRules());
    }

    /** The classes of requests. */
    public List<RequestClass> theClasses() {
        return classes.stream()
                .map(
                        c ->
                                new RequestClass(
                                        c.name(),
                                        c.repeat() == null ? Repeat.FREE : c.repeat(),
                                        or(c.share(), 1),
                                        or(c.workMs(), 40) * MS,
                                        (long) (or(c.aimMs(), 600) * MS),
                                        (long) (or(c.giveUpMs(), 1_500) * MS),
                                        or(c.worth(), 1),
                                        (long) (or(c.memoryMs(), 3_000) * MS)))
                .toList();
    }

    /** How long it is played, in microseconds. */
    public long micros() {
        return (long) (seconds * SECOND);
    }
}
