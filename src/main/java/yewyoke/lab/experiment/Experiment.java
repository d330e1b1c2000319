package yewyoke.lab.experiment;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import yewyoke.lab.check.Checker.Repeat;
import yewyoke.lab.check.Rules;
import yewyoke.lab.stand.RequestClass;
import yewyoke.lab.stand.UpstreamKind;

/** An experiment as its TOML file has it; what the file leaves out has the value that stands here. */
public record Experiment(@JsonProperty(required = true) String name, long seed, double seconds, int balancers,
        int upstreams, TrafficPart traffic, @JsonProperty("class") List<ClassPart> classes,
        UpstreamPart upstream, RulesPart rules, @JsonProperty("fault") List<FaultPart> faults,
        ExpectPart expect) {
    private static final TomlMapper TOML = TomlMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT).build();
    private static final double MS = 1_000;
    private static final double SECOND = 1e6;
    private static final int MOST_PROCESSES = 64;
    private static final int MOST_UPSTREAMS = 500;

    /** What clients ask for. */
    public record TrafficPart(@JsonProperty("per-second") Double perSecond, Integer keys, Double skew,
            Integer retries, @JsonProperty("backoff-ms") Double backoffMs) { }

    /** A class of requests. */
    public record ClassPart(@JsonProperty(required = true) String name, Repeat repeat, Double share,
            @JsonProperty("work-ms") Double workMs, @JsonProperty("aim-ms") Double aimMs,
            @JsonProperty("give-up-ms") Double giveUpMs, Double worth,
            @JsonProperty("memory-ms") Double memoryMs) { }

    /** The machines of the upstreams. */
    public record UpstreamPart(Integer cores, Double speed, Integer queue, Integer connections,
            @JsonProperty("error-chance") Double errorChance, @JsonProperty("key-saving") Double keySaving,
            @JsonProperty("report-ms") Double reportMs) { }

    /** The figures of the rules. */
    public record RulesPart(@JsonProperty("answer-slack-ms") Double answerSlackMs,
            @JsonProperty("drain-grace-ms") Double drainGraceMs,
            @JsonProperty("start-capacity") Double startCapacity, @JsonProperty("cold-ms") Double coldMs,
            @JsonProperty("fall-multiple") Double fallMultiple, @JsonProperty("fall-ms") Double fallMs) { }

    /** One line of the timeline: what is done to whom, one after the other {@code every-ms}. */
    public record FaultPart(@JsonProperty(value = "at-s", required = true) double atS,
            @JsonProperty(value = "do", required = true) String what, List<String> who, List<String> from,
            List<String> to, Boolean both, @JsonProperty("every-ms") double everyMs,
            @JsonProperty("delay-ms") double delayMs, @JsonProperty("jitter-ms") double jitterMs,
            double loss) { }

    /** Bounds; a run outside of them fails. */
    public record ExpectPart(Integer violations, @JsonProperty("served-worth") Double servedWorth,
            @JsonProperty("lateness-p99-ms") Double latenessP99Ms) { }

    /** Says what is wrong with a file, where, and with which key. */
    public static final class BadFile extends Exception {
        private static final long serialVersionUID = 1L;

        BadFile(Path file, int line, String key, String why) {
            super(file + (line > 0 ? ":" + line : "") + ": " + (key.isEmpty() ? "" : key + ": ") + why);
        }
    }

    /** Reads and checks a file; a key that is not known here is refused. */
    public static Experiment read(Path file) throws IOException, BadFile {
        String text = Files.readString(file);
        Experiment read;
        try {
            read = TOML.readValue(text, Experiment.class);
        } catch (JsonMappingException e) {
            throw new BadFile(file, lineOf(text, e.getPath()), e.getPath().stream().map(r ->
                    r.getFieldName() == null ? "[" + r.getIndex() + "]" : r.getFieldName())
                    .collect(Collectors.joining(".")).replace(".[", "["),
                    e.getOriginalMessage().lines().findFirst().orElse("").replaceAll(" \\(class .*", ""));
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            throw new BadFile(file, at == null ? 0 : at.getLineNr(), "", e.getOriginalMessage());
        }
        read.check(file);
        return read;
    }

    /** Where a key stands; the library reads the whole file first and forgets it. 0 if it stands nowhere. */
    private static int lineOf(String text, List<JsonMappingException.Reference> path) {
        String[] lines = text.split("\\R");
        int line = 0;
        for (JsonMappingException.Reference step : path) {
            if (step.getFieldName() == null) {
                String header = lines[line];
                for (int left = step.getIndex(); left > 0 && line < lines.length - 1; ) {
                    left -= lines[++line].equals(header) ? 1 : 0;
                }
                continue;
            }
            String name = Pattern.quote(step.getFieldName());
            Pattern key = Pattern.compile("\\s*(\\[+" + name + "\\]+|\"?" + name + "\"?\\s*=).*");
            while (line < lines.length && !key.matcher(lines[line]).matches()) {
                line++;
            }
            if (line == lines.length) {
                return 0;
            }
        }
        return line + 1;
    }

    private void check(Path file) throws BadFile {
        range(file, "seconds", seconds, 1, 3_600);
        range(file, "balancers", balancers, 1, MOST_PROCESSES);
        range(file, "upstreams", upstreams, 1, MOST_UPSTREAMS);
        if (traffic == null || traffic.perSecond() == null) {
            throw new BadFile(file, 0, "traffic.per-second", "is missing");
        }
        range(file, "traffic.per-second", traffic.perSecond(), 0.1, 100_000);
        if (classes == null || classes.isEmpty()) {
            throw new BadFile(file, 0, "class", "there has to be one at least");
        }
        try {
            kind();
            Timeline.plan(this);
        } catch (IllegalArgumentException e) {
            throw new BadFile(file, 0, "", e.getMessage());
        }
    }

    private static void range(Path file, String key, double value, double least, double most)
            throws BadFile {
        if (!(value >= least && value <= most)) {
            throw new BadFile(file, 0, key, value + " is not within " + least + " and " + most);
        }
    }

    private static double or(Number value, double otherwise) {
        return value == null ? otherwise : value.doubleValue();
    }

    /** The rules in force. */
    public Rules theRules() {
        RulesPart r = rules == null ? new RulesPart(null, null, null, null, null, null) : rules;
        return new Rules((long) (or(r.answerSlackMs(), 500) * MS), (long) (or(r.drainGraceMs(), 2_000) * MS),
                or(r.startCapacity(), 0.3), (long) (or(r.coldMs(), 8_000) * MS), or(r.fallMultiple(), 2.5),
                (long) (or(r.fallMs(), 1_000) * MS));
    }

    /** The machines of the upstreams. */
    public UpstreamKind kind() {
        UpstreamPart u = upstream == null ? new UpstreamPart(null, null, null, null, null, null, null)
                : upstream;
        long report = (long) (or(u.reportMs(), 900) * MS);
        return new UpstreamKind((int) or(u.cores(), 2), or(u.speed(), 1), (int) or(u.queue(), 40),
                (int) or(u.connections(), 1_000), (long) (8 * SECOND), 100, or(u.keySaving(), 0.4), report,
                report / 3, or(u.errorChance(), 0), theRules());
    }

    /** The classes of requests. */
    public List<RequestClass> theClasses() {
        return classes.stream().map(c -> new RequestClass(c.name(),
                c.repeat() == null ? Repeat.FREE : c.repeat(), or(c.share(), 1), or(c.workMs(), 40) * MS,
                (long) (or(c.aimMs(), 600) * MS), (long) (or(c.giveUpMs(), 1_500) * MS), or(c.worth(), 1),
                (long) (or(c.memoryMs(), 3_000) * MS))).toList();
    }

    /** How long it is played, in microseconds. */
    public long micros() {
        return (long) (seconds * SECOND);
    }
}
