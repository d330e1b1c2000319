package myrtleladder.testbed.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * What the machine says of a process. It is read from outside, since to ask a balancer for its heap
 * costs it a thread and CPU; so there is its resident memory, of which the heap is a part.
 *
 * @param at microseconds of the run
 * @param cpuSeconds CPU that this life of the process has used
 * @param residentMb memory that it holds, in units of 2^20 bytes
 */
public record ProcessSample(
        long at, String process, long pid, double cpuSeconds, double residentMb, long descriptors) {
    private static final String RESIDENT = "VmRSS:";
    private static final double KB_IN_MB = 1_024;
    private static final double NANOS = 1e9;

    static Optional<ProcessSample> of(long at, String name, ProcessHandle process) {
        Path proc = Path.of("/proc", Long.toString(process.pid()));
        Optional<Duration> cpu = process.info().totalCpuDuration();
        if (cpu.isEmpty() || !Files.isDirectory(proc)) {
            return Optional.empty();
        }
        try (Stream<String> status = Files.lines(proc.resolve("status"));
                Stream<Path> descriptors = Files.list(proc.resolve("fd"))) {
            double kb =
                    status.filter(l -> l.startsWith(RESIDENT))
                            .mapToDouble(
                                    l ->
                                            Double.parseDouble(
                                                    l.substring(RESIDENT.length())
                                                            .replace("kB", "")
                                                            .trim()))
                            .findFirst()
                            .orElse(Double.NaN);
            return Optional.of(
                    new ProcessSample(
                            at,
                            name,
                            process.pid(),
                            cpu.get().toNanos() / NANOS,
                            kb / KB_IN_MB,
                            descriptors.count()));
        } catch (IOException e) {
            return Optional
                    .empty(); // it has ended since: it has no memory, and that is told by its
            // absence
        }
    }
}
