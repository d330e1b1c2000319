package myrtleladder;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.junit.jupiter.api.extension.ConditionEvaluationResult;
import org.junit.jupiter.api.extension.ExecutionCondition;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Passes over the tests that the file KNOWN-RED.txt at the root lists, and prints each with its
 * entry. These are tests that fail for a real fault which is not mended yet. The file has one line
 * for each: class and method ({@code package.Class#method}), the command with the seed that plays
 * it, what was seen, and the issue, separated by {@value #SEPARATOR}.
 *
 * <p>JUnit registers it by itself (junit-platform.properties). {@link KnownFailuresTest} checks the
 * file: each line is complete and names a test that there is.
 */
public final class KnownFailures implements ExecutionCondition {
    static final String SEPARATOR = " | ";

    private static final int FIELDS = 4;
    private static final Path FILE = Path.of("KNOWN-RED.txt");
    private static final ConditionEvaluationResult NOT_LISTED =
            ConditionEvaluationResult.enabled("not listed in " + FILE);

    private final List<Entry> entries;

    /** A listed test. */
    record Entry(String className, String method, String command, String seen, String issue) {}

    /** Reads the file at the root; used by JUnit. */
    public KnownFailures() {
        this(readFile());
    }

    KnownFailures(List<String> lines) {
        entries = lines.stream().filter(line -> !line.isBlank()).map(KnownFailures::parse).toList();
    }

    private static List<String> readFile() {
        try {
            return Files.readAllLines(FILE);
        } catch (NoSuchFileException e) {
            return List.of();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Entry parse(String line) {
        String[] fields = line.split(Pattern.quote(SEPARATOR), -1);
        int hash = fields[0].indexOf('#');
        if (fields.length != FIELDS || hash < 1) {
            throw new IllegalArgumentException(
                    "not `Class#method | command and seed | what was seen | issue`: " + line);
        }
        return new Entry(
                fields[0].substring(0, hash).strip(),
                fields[0].substring(hash + 1).strip(),
                fields[1].strip(),
                fields[2].strip(),
                fields[3].strip());
    }

    /** Returns what is wrong with the list, empty if nothing is. */
    List<String> problems() {
        List<String> problems = new ArrayList<>();
        for (Entry entry : entries) {
            if (!exists(entry)) {
                problems.add("there is no test " + entry.className + "#" + entry.method);
            }
            if (entry.command.isEmpty() || entry.seen.isEmpty() || entry.issue.isEmpty()) {
                problems.add(
                        entry.className
                                + "#"
                                + entry.method
                                + " lacks a command, what was seen, or an issue");
            }
        }
        return problems;
    }

    private static boolean exists(Entry entry) {
        try {
            return Arrays.stream(Class.forName(entry.className).getDeclaredMethods())
                    .anyMatch(method -> method.getName().equals(entry.method));
        } catch (ClassNotFoundException e) {
            return false;
        }
    }

    @Override
    public ConditionEvaluationResult evaluateExecutionCondition(ExtensionContext context) {
        Optional<Entry> listed =
                context.getTestMethod()
                        .flatMap(
                                method ->
                                        find(
                                                context.getRequiredTestClass().getName(),
                                                method.getName()));
        if (listed.isEmpty()) {
            return NOT_LISTED;
        }
        Entry entry = listed.get();
        String reason = "known to fail: " + entry.seen + "; " + entry.command + "; " + entry.issue;
        System.out.println(context.getRequiredTestMethod() + " " + reason);
        return ConditionEvaluationResult.disabled(reason);
    }

    /** Returns the entry of a test, if it is listed. */
    Optional<Entry> find(String className, String method) {
        return entries.stream()
                .filter(entry -> entry.className.equals(className) && entry.method.equals(method))
                .findFirst();
    }
}
