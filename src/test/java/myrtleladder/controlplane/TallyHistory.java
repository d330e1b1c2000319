package myrtleladder.controlplane;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Records the tally calls of applications and the injected faults, and checks that each total lies
 * between what was acknowledged and what may have been applied. Calls with the same id may overlap.
 *
 * <p>The recording methods are thread-safe; {@link #violations} must be called after the last of
 * them. Times are those of {@link System#nanoTime}.
 */
final class TallyHistory {
    /** The incarnation if the process ended during the call. */
    static final int UNKNOWN_INCARNATION = -1;

    private static final int MAX_VIOLATIONS = 20;

    private final long mergeNs;
    private final List<Addition> additions = Collections.synchronizedList(new ArrayList<>());
    private final List<Reading> readings = Collections.synchronizedList(new ArrayList<>());
    private final List<Interval> disruptions = Collections.synchronizedList(new ArrayList<>());
    private final List<Interval> partitions = Collections.synchronizedList(new ArrayList<>());
    private final List<Wipe> wipes = Collections.synchronizedList(new ArrayList<>());
    private final List<String> violations = new ArrayList<>();
    private long startNs;

    /** The outcome of an addition as its sender knows it. */
    enum Outcome {
        ACKNOWLEDGED,
        /** The response guarantees that nothing was applied, or the request was not sent. */
        REFUSED,
        UNKNOWN
    }

    /** One call that adds; {@code incarnation} counts the restarts of the node's process. */
    record Addition(
            String tally,
            String id,
            long amount,
            String node,
            int incarnation,
            long invokedNs,
            long endedNs,
            Outcome outcome) {}

    /** One call that returned a total. */
    record Reading(
            String tally, String node, int incarnation, long invokedNs, long endedNs, long total) {}

    /** A time interval, both ends inclusive. */
    record Interval(long startNs, long endNs) {
        private boolean overlaps(long fromNs, long toNs) {
            return startNs <= toNs && endNs >= fromNs;
        }
    }

    /** The loss of a node's disk. */
    record Wipe(String node, long atNs) {}

    private record TallyAtIncarnation(String node, int incarnation, String tally) {}

    /** Amounts by the time from which each counts. */
    private static final class AmountsByTime {
        private final TreeMap<Long, Long> amounts = new TreeMap<>();
        private TreeMap<Long, Long> sums;

        void add(long fromNs, long amount) {
            amounts.merge(fromNs, amount, Long::sum);
        }

        long sumBefore(long ns) {
            if (sums == null) {
                sums = new TreeMap<>();
                long sum = 0;
                for (Map.Entry<Long, Long> entry : amounts.entrySet()) {
                    sum += entry.getValue();
                    sums.put(entry.getKey(), sum);
                }
            }
            Map.Entry<Long, Long> last = sums.lowerEntry(ns);
            return last == null ? 0 : last.getValue();
        }
    }

    /** Creates an empty history; nodes must agree after {@code mergeMs} without disruption. */
    TallyHistory(long mergeMs) {
        this.mergeNs = mergeMs * 1_000_000;
    }

    /** Sets the time from which violations count their milliseconds. */
    void start() {
        startNs = System.nanoTime();
    }

    void record(Addition addition) {
        additions.add(addition);
    }

    void record(Reading reading) {
        readings.add(reading);
    }

    void record(Wipe wipe) {
        wipes.add(wipe);
    }

    void recordDisruption(Interval interval) {
        disruptions.add(interval);
    }

    void recordPartition(Interval interval) {
        partitions.add(interval);
    }

    /** The number of calls by outcome, and of readings. */
    String summary() {
        Map<Outcome, Integer> counts = new TreeMap<>();
        additions.forEach(addition -> counts.merge(addition.outcome, 1, Integer::sum));
        long duringCuts =
                additions.stream()
                        .filter(addition -> addition.outcome == Outcome.ACKNOWLEDGED)
                        .filter(addition -> isIn(partitions, addition.endedNs, addition.endedNs))
                        .count();
        return "additions %s, acknowledged during cuts %d, readings %d, of these calm %d"
                .formatted(
                        counts,
                        duringCuts,
                        readings.size(),
                        readings.stream().filter(this::isUndisturbed).count());
    }

    private static boolean isIn(List<Interval> intervals, long fromNs, long toNs) {
        return intervals.stream().anyMatch(interval -> interval.overlaps(fromNs, toNs));
    }

    private boolean isUndisturbed(Reading reading) {
        return !isIn(disruptions, reading.invokedNs - mergeNs, reading.invokedNs);
    }

    /** Checks all readings; returns the violations. */
    List<String> violations() {
        Map<String, AmountsByTime> upperBounds = new HashMap<>();
        Map<String, AmountsByTime> lowerBounds = new HashMap<>();
        Map<TallyAtIncarnation, AmountsByTime> acknowledgedByIncarnation = new HashMap<>();
        sumUpperBounds(upperBounds);
        sumLowerBounds(lowerBounds);
        sumByIncarnation(acknowledgedByIncarnation);
        AmountsByTime none = new AmountsByTime();
        for (Reading reading : readings) {
            String tally = reading.tally;
            long maximum = upperBounds.getOrDefault(tally, none).sumBefore(reading.endedNs);
            if (reading.total > maximum) {
                addViolation("TWICE", reading, "at most " + maximum);
            }
            TallyAtIncarnation incarnation =
                    new TallyAtIncarnation(reading.node, reading.incarnation, tally);
            long acknowledgedByProcess =
                    acknowledgedByIncarnation
                            .getOrDefault(incarnation, none)
                            .sumBefore(reading.invokedNs);
            if (reading.total < acknowledgedByProcess) {
                addViolation(
                        "STALE", reading, "acknowledged by this process: " + acknowledgedByProcess);
            }
            long minimum =
                    lowerBounds.getOrDefault(tally, none).sumBefore(reading.invokedNs - mergeNs);
            if (isUndisturbed(reading) && reading.total < minimum) {
                addViolation("LOST or not merged", reading, "acknowledged by all: " + minimum);
            }
        }
        return violations;
    }

    private void addViolation(String rule, Reading reading, String bound) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(
                    "%s: %s of %s, incarnation %d, is %d after %d ms, %s"
                            .formatted(
                                    rule,
                                    reading.tally,
                                    reading.node,
                                    reading.incarnation,
                                    reading.total,
                                    (reading.endedNs - startNs) / 1_000_000,
                                    bound));
        }
    }

    private void sumUpperBounds(Map<String, AmountsByTime> sums) {
        Map<String, Addition> first = new HashMap<>();
        for (Addition addition : additions) {
            if (addition.outcome != Outcome.REFUSED) {
                first.merge(
                        addition.id, addition, (a, b) -> a.invokedNs - b.invokedNs <= 0 ? a : b);
            }
        }
        first.values().forEach(a -> sum(sums, a.tally).add(a.invokedNs, a.amount));
    }

    private void sumLowerBounds(Map<String, AmountsByTime> sums) {
        Map<String, Addition> first = new HashMap<>();
        for (Addition addition : additions) {
            if (addition.outcome == Outcome.ACKNOWLEDGED && !mayBeLostWithItsDisk(addition)) {
                first.merge(addition.id, addition, (a, b) -> a.endedNs - b.endedNs <= 0 ? a : b);
            }
        }
        first.values().forEach(a -> sum(sums, a.tally).add(a.endedNs, a.amount));
    }

    /** Whether a node acknowledged it during a partition and lost its disk before the merge. */
    private boolean mayBeLostWithItsDisk(Addition addition) {
        long acknowledgedNs = addition.endedNs;
        for (Interval partition : partitions) {
            for (Wipe wipe : wipes) {
                if (partition.overlaps(addition.invokedNs, acknowledgedNs)
                        && wipe.node.equals(addition.node)
                        && wipe.atNs >= addition.invokedNs
                        && wipe.atNs < partition.endNs + mergeNs) {
                    return true;
                }
            }
        }
        return false;
    }

    private void sumByIncarnation(Map<TallyAtIncarnation, AmountsByTime> sums) {
        Set<String> counted = new HashSet<>();
        List<Addition> ordered = new ArrayList<>(additions);
        ordered.sort((a, b) -> Long.signum(a.endedNs - b.endedNs));
        for (Addition addition : ordered) {
            if (addition.outcome != Outcome.ACKNOWLEDGED
                    || addition.incarnation == UNKNOWN_INCARNATION) {
                continue;
            }
            if (counted.add(addition.node + "/" + addition.incarnation + "/" + addition.id)) {
                TallyAtIncarnation incarnation =
                        new TallyAtIncarnation(addition.node, addition.incarnation, addition.tally);
                sums.computeIfAbsent(incarnation, key -> new AmountsByTime())
                        .add(addition.endedNs, addition.amount);
            }
        }
    }

    private static AmountsByTime sum(Map<String, AmountsByTime> sums, String tally) {
        return sums.computeIfAbsent(tally, key -> new AmountsByTime());
    }
}
