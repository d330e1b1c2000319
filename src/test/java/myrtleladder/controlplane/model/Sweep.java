package myrtleladder.controlplane.model;

import com.google.common.util.concurrent.Uninterruptibles;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;

/**
 * Runs numbered cases in parallel. Prints its progress and rate, and for each failed case one line
 * with the command that repeats it. A stopped sweep can be resumed from the case number that it
 * printed last: the system properties {@code NAME.from} and {@code NAME.to} set the range, and
 * {@code sweep.threads} sets the number of threads, by default one per processor.
 */
final class Sweep {
    private static final long PROGRESS_INTERVAL_NS = TimeUnit.SECONDS.toNanos(10);
    private static final int MAX_FAILURES = 20;
    private static final int THREADS =
            Integer.getInteger("sweep.threads", Runtime.getRuntime().availableProcessors());

    private final String name;
    private final String test;
    private final long from;
    private final long to;
    private final AtomicLong nextCase;
    private final AtomicIntegerArray finishedCases;
    private final AtomicLong finishedCaseCount = new AtomicLong();
    private final long startedAtNs = System.nanoTime();
    private final AtomicLong nextProgressNs = new AtomicLong(startedAtNs + PROGRESS_INTERVAL_NS);
    private final List<String> failures = Collections.synchronizedList(new ArrayList<>());

    /**
     * Creates a sweep.
     *
     * @param name the prefix of the two properties
     * @param test the test that runs the sweep, as {@code Class#method}
     * @param defaultFrom the first case unless the property says otherwise
     * @param defaultTo the end of the range, exclusive, unless the property says otherwise
     */
    Sweep(String name, String test, long defaultFrom, long defaultTo) {
        this.name = name;
        this.test = test;
        this.from = Long.getLong(name + ".from", defaultFrom);
        this.to = Long.getLong(name + ".to", defaultTo);
        this.nextCase = new AtomicLong(from);
        this.finishedCases = new AtomicIntegerArray(Math.toIntExact(to - from));
    }

    /**
     * Runs all cases.
     *
     * @param violations returns the violations of a case, empty if there are none
     * @return a line for each case that failed, {@value #MAX_FAILURES} at most
     */
    List<String> run(LongFunction<String> violations) {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < THREADS; i++) {
            threads.add(new Thread(() -> runCases(violations), name + "-" + i));
        }
        threads.forEach(Thread::start);
        threads.forEach(Uninterruptibles::joinUninterruptibly);
        printProgress();
        return failures;
    }

    /** Runs cases in ascending order, so that a stopped sweep leaves few gaps. */
    private void runCases(LongFunction<String> violations) {
        for (long number = nextCase.getAndIncrement();
                number < to;
                number = nextCase.getAndIncrement()) {
            runCase(number, violations);
        }
    }

    private void runCase(long number, LongFunction<String> violations) {
        String violation = failures.size() < MAX_FAILURES ? runSafely(number, violations) : "";
        if (!violation.isEmpty()) {
            String line = violation.lines().findFirst().orElse("") + "; again: " + command(number);
            failures.add(line);
            System.out.println(name + " FAILED " + line);
        }
        finishedCases.set(Math.toIntExact(number - from), 1);
        finishedCaseCount.incrementAndGet();
        long progressDueNs = nextProgressNs.get();
        if (System.nanoTime() >= progressDueNs
                && nextProgressNs.compareAndSet(
                        progressDueNs, System.nanoTime() + PROGRESS_INTERVAL_NS)) {
            printProgress();
        }
    }

    /** Runs a case; an exception counts as its violation. */
    private static String runSafely(long number, LongFunction<String> violations) {
        try {
            return violations.apply(number);
        } catch (RuntimeException | AssertionError e) {
            return number + ": " + e;
        }
    }

    private String command(long number) {
        return "mvn -B -Plong test -Dtest=%s -D%s.from=%d -D%s.to=%d"
                .formatted(test, name, number, name, number + 1);
    }

    private void printProgress() {
        double elapsedS = (System.nanoTime() - startedAtNs) / 1e9;
        int firstUnfinished = 0;
        while (firstUnfinished < finishedCases.length()
                && finishedCases.get(firstUnfinished) == 1) {
            firstUnfinished++;
        }
        System.out.printf(
                "%s: %d of %d in %.0f s, %.0f a second, %d failed; all below %d are done%n",
                name,
                finishedCaseCount.get(),
                to - from,
                elapsedS,
                finishedCaseCount.get() / elapsedS,
                failures.size(),
                from + firstUnfinished);
    }
}
