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
 * What applications saw of the tallies, with the faults, and the check of both: each total lies
 * between what was acknowledged and what may have been applied. Calls of one id may overlap.
 *
 * <p>Thread-safe while it is recorded; checked once nothing is recorded any more. Times are those
 * of {@link System#nanoTime}.
 */
final class TallyHistory {
    /** The life of a node that ended during a call. */
    static final int UNKNOWN_LIFE = -1;

    private static final int MAX_VIOLATIONS = 20;

    private final long mergeNs;
    private final List<Addition> additions = Collections.synchronizedList(new ArrayList<>());
    private final List<Reading> readings = Collections.synchronizedList(new ArrayList<>());
    private final List<Interval> disruptions = Collections.synchronizedList(new ArrayList<>());
    private final List<Interval> cuts = Collections.synchronizedList(new ArrayList<>());
    private final List<Wipe> wipes = Collections.synchronizedList(new ArrayList<>());
    private final List<String> violations = new ArrayList<>();

    /** What an application knows of an addition that it sent. */
    enum Outcome {
        ACKNOWLEDGED,
        /** The answer promises that nothing was done, or nothing was sent. */
        REFUSED,
        UNKNOWN
    }

    /** One call that adds; {@code life} counts the starts of the node's process. */
    record Addition(
            String tally,
            String id,
            long amount,
            String node,
            int life,
            long invokedNs,
            long endedNs,
            Outcome outcome) {}

    /** One call that was answered with a total. */
    record Reading(String tally, String node, int life, long invokedNs, long endedNs, long total) {}

    /** A time during which something was the case. */
    record Interval(long startNs, long endNs) {
        private boolean overlaps(long fromNs, long toNs) {
            return startNs <= toNs && endNs >= fromNs;
        }
    }

    /** The loss of a node's disk. */
    record Wipe(String node, long atNs) {}

    private record Life(String node, int life, String tally) {}

    /** Amounts by the time from which they count. */
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

    /** Creates an empty history; nodes agree after {@code mergeMs} without disruption. */
    TallyHistory(long mergeMs) {
        this.mergeNs = mergeMs * 1_000_000;
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

    void recordCut(Interval interval) {
        cuts.add(interval);
    }

    /** The calls by their outcome, and the readings. */
    String summary() {
        Map<Outcome, Integer> counts = new TreeMap<>();
        additions.forEach(addition -> counts.merge(addition.outcome, 1, Integer::sum));
        long duringCuts =
                additions.stream()
                        .filter(addition -> addition.outcome == Outcome.ACKNOWLEDGED)
                        .filter(addition -> isIn(cuts, addition.endedNs, addition.endedNs))
                        .count();
        return "additions %s, acknowledged during cuts %d, readings %d, of these calm %d"
                .formatted(
                        counts,
                        duringCuts,
                        readings.size(),
                        readings.stream().filter(this::isCalm).count());
    }

    private static boolean isIn(List<Interval> intervals, long fromNs, long toNs) {
        return intervals.stream().anyMatch(interval -> interval.overlaps(fromNs, toNs));
    }

    private boolean isCalm(Reading reading) {
        return !isIn(disruptions, reading.invokedNs - mergeNs, reading.invokedNs);
    }

    /** Checks all readings; returns what is violated. */
    List<String> violations() {
        Map<String, AmountsByTime> possible = new HashMap<>();
        Map<String, AmountsByTime> owed = new HashMap<>();
        Map<Life, AmountsByTime> ownByLife = new HashMap<>();
        sumPossible(possible);
        sumOwed(owed);
        sumByLife(ownByLife);
        AmountsByTime none = new AmountsByTime();
        for (Reading reading : readings) {
            String tally = reading.tally;
            long most = possible.getOrDefault(tally, none).sumBefore(reading.endedNs);
            if (reading.total > most) {
                violated("TWICE", reading, "at most " + most);
            }
            Life life = new Life(reading.node, reading.life, tally);
            long own = ownByLife.getOrDefault(life, none).sumBefore(reading.invokedNs);
            if (reading.total < own) {
                violated("STALE", reading, "acknowledged by this process: " + own);
            }
            long merged = owed.getOrDefault(tally, none).sumBefore(reading.invokedNs - mergeNs);
            if (isCalm(reading) && reading.total < merged) {
                violated("LOST or not merged", reading, "acknowledged by all: " + merged);
            }
        }
        return violations;
    }

    private void violated(String rule, Reading reading, String bound) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(rule + ": " + reading + ", " + bound);
        }
    }

    private void sumPossible(Map<String, AmountsByTime> sums) {
        Map<String, Addition> first = new HashMap<>();
        for (Addition addition : additions) {
            if (addition.outcome != Outcome.REFUSED) {
                first.merge(
                        addition.id, addition, (a, b) -> a.invokedNs - b.invokedNs <= 0 ? a : b);
            }
        }
        first.values().forEach(a -> sum(sums, a.tally).add(a.invokedNs, a.amount));
    }

    private void sumOwed(Map<String, AmountsByTime> sums) {
        Map<String, Addition> first = new HashMap<>();
        for (Addition addition : additions) {
            if (addition.outcome == Outcome.ACKNOWLEDGED && !isLostWithItsDisk(addition)) {
                first.merge(addition.id, addition, (a, b) -> a.endedNs - b.endedNs <= 0 ? a : b);
            }
        }
        first.values().forEach(a -> sum(sums, a.tally).add(a.endedNs, a.amount));
    }

    /** Acknowledged during a cut by a node that lost its disk before it could tell all others. */
    private boolean isLostWithItsDisk(Addition addition) {
        long acknowledgedNs = addition.endedNs;
        for (Interval cut : cuts) {
            for (Wipe wipe : wipes) {
                if (cut.overlaps(addition.invokedNs, acknowledgedNs)
                        && wipe.node.equals(addition.node)
                        && wipe.atNs >= addition.invokedNs
                        && wipe.atNs < cut.endNs + mergeNs) {
                    return true;
                }
            }
        }
        return false;
    }

    private void sumByLife(Map<Life, AmountsByTime> sums) {
        Set<String> counted = new HashSet<>();
        List<Addition> ordered = new ArrayList<>(additions);
        ordered.sort((a, b) -> Long.signum(a.endedNs - b.endedNs));
        for (Addition addition : ordered) {
            if (addition.outcome != Outcome.ACKNOWLEDGED || addition.life == UNKNOWN_LIFE) {
                continue;
            }
            if (counted.add(addition.node + "/" + addition.life + "/" + addition.id)) {
                Life life = new Life(addition.node, addition.life, addition.tally);
                sums.computeIfAbsent(life, key -> new AmountsByTime())
                        .add(addition.endedNs, addition.amount);
            }
        }
    }

    private static AmountsByTime sum(Map<String, AmountsByTime> sums, String tally) {
        return sums.computeIfAbsent(tally, key -> new AmountsByTime());
    }
}
