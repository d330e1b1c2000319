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
import org.junit.jupiter.api.extension.ConditionEvaluationResult;
import org.junit.jupiter.api.extension.ExecutionCondition;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Passes over the tests that the file KNOWN-RED.txt at the root lists, and prints each with its
 * cause. These are tests that fail for a real fault which is not mended yet. The file has one line
 * for each: class and method ({@code package.Class#method}), cause and issue, separated by commas.
 *
 * <p>JUnit registers it by itself (junit-platform.properties). {@link KnownFailuresTest} checks the
 * file: {@value #MAX_ENTRIES} lines at most, and each names a test that there is.
 */
public final class KnownFailures implements ExecutionCondition {
    static final int MAX_ENTRIES = 3;

    private static final Path FILE = Path.of("KNOWN-RED.txt");
    private static final ConditionEvaluationResult NOT_LISTED =
            ConditionEvaluationResult.enabled("not listed in " + FILE);

    private final List<Entry> entries;

    /** A listed test. */
    record Entry(String className, String method, String cause, String issue) {}

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

    /** The cause may have commas in it. */
    private static Entry parse(String line) {
        int hash = line.indexOf('#');
        int first = line.indexOf(',');
        int last = line.lastIndexOf(',');
        if (hash < 1 || first < hash || last <= first) {
            throw new IllegalArgumentException("not `Class#method, cause, issue`: " + line);
        }
        return new Entry(
                line.substring(0, hash).strip(),
                line.substring(hash + 1, first).strip(),
                line.substring(first + 1, last).strip(),
                line.substring(last + 1).strip());
    }

    /** Returns what is wrong with the list, empty if nothing is. */
    List<String> problems() {
        List<String> problems = new ArrayList<>();
        if (entries.size() > MAX_ENTRIES) {
            problems.add(entries.size() + " tests are listed, " + MAX_ENTRIES + " are allowed");
        }
        for (Entry entry : entries) {
            if (!exists(entry)) {
                problems.add("there is no test " + entry.className + "#" + entry.method);
            }
            if (entry.cause.isEmpty() || entry.issue.isEmpty()) {
                problems.add(entry.className + "#" + entry.method + " lacks a cause or an issue");
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
        String reason = "known to fail: " + listed.get().cause + ", " + listed.get().issue;
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
