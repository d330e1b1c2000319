package myrtleladder.testbed.fault;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Faults and the times, in microseconds from the start of the plan, at which they are injected.
 * Immutable.
 */
public record FaultPlan(List<Step> steps) {
    /** A plan without faults. */
    public static final FaultPlan QUIET = new FaultPlan(List.of());

    /** Largest step of a wall clock in a drawn plan, either way: one hour. */
    private static final long MAX_CLOCK_STEP_US = 3_600_000_000L;

    /** Largest drift of a steady clock in a drawn plan, either way. */
    private static final long MAX_DRIFT_PARTS_PER_MILLION = 200;

    /** Bound, exclusive, of the delay of a link in a drawn plan. */
    private static final long DELAY_BOUND_US = 200_000;

    /** Bound, exclusive, of the jitter of a link in a drawn plan. */
    private static final long JITTER_BOUND_US = 100_000;

    /** One fault and its time, in microseconds from the start of the plan. */
    public record Step(long at, Fault fault) {}

    /** Sorts the steps by time; steps of the same time keep their order. */
    public FaultPlan {
        steps = steps.stream().sorted(Comparator.comparingLong(Step::at)).toList();
    }

    /**
     * Draws a random plan, the same for the same arguments: processes are killed, restarted, paused
     * and resumed, links are cut, slowed and healed, clocks are stepped and drift.
     *
     * @param steps number of faults
     * @param untilUs bound, exclusive, of their times
     */
    public static FaultPlan draw(long seed, List<String> processes, int steps, long untilUs) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Step> drawn = new ArrayList<>();
        for (int i = 0; i < steps; i++) {
            drawn.add(new Step(random.nextLong(untilUs), drawFault(random, processes)));
        }
        return new FaultPlan(drawn);
    }

    private static Fault drawFault(SplittableRandom random, List<String> processes) {
        String one = processes.get(random.nextInt(processes.size()));
        String other = processes.get(random.nextInt(processes.size()));
        return switch (random.nextInt(10)) {
            case 0 -> new Fault.Kill(one);
            case 1 -> new Fault.Restart(one);
            case 2 -> new Fault.Pause(one);
            case 3 -> new Fault.Resume(one);
            case 4 ->
                    new Fault.StepClock(
                            one, random.nextLong(-MAX_CLOCK_STEP_US, MAX_CLOCK_STEP_US));
            case 5 ->
                    new Fault.Drift(
                            one,
                            random.nextLong(
                                    -MAX_DRIFT_PARTS_PER_MILLION, MAX_DRIFT_PARTS_PER_MILLION + 1));
            case 6 -> new Fault.Link(one, other, LinkFault.CUT);
            case 7 ->
                    new Fault.Link(
                            one,
                            other,
                            new LinkFault(
                                    false,
                                    random.nextLong(DELAY_BOUND_US),
                                    random.nextLong(JITTER_BOUND_US),
                                    random.nextDouble() / 2,
                                    random.nextDouble() / 2));
            case 8 -> new Fault.Heal(one, other);
            default -> new Fault.HealAll();
        };
    }

    /**
     * Removes steps as long as the plan still fails (delta debugging: Zeller and Hildebrandt,
     * "Simplifying and Isolating Failure-Inducing Input", 2002, section 3).
     *
     * @param fails has to be deterministic, and true for this plan
     */
    public FaultPlan shrink(Predicate<FaultPlan> fails) {
        List<Step> remaining = steps;
        int chunks = 2;
        while (!remaining.isEmpty()) {
            int size = (remaining.size() + chunks - 1) / chunks;
            List<Step> smaller = null;
            for (int from = 0; from < remaining.size() && smaller == null; from += size) {
                List<Step> without = new ArrayList<>(remaining.subList(0, from));
                without.addAll(
                        remaining.subList(
                                Math.min(remaining.size(), from + size), remaining.size()));
                smaller = fails.test(new FaultPlan(without)) ? without : null;
            }
            if (smaller != null) {
                remaining = smaller;
                chunks = Math.max(2, chunks - 1);
            } else if (size == 1) {
                break;
            } else {
                chunks = Math.min(remaining.size(), 2 * chunks);
            }
        }
        return new FaultPlan(remaining);
    }

    /** One step a line, with its time in seconds. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (Step step : steps) {
            text.append(String.format("%n  %.6f s  %s", step.at() / 1e6, step.fault()));
        }
        return text.length() == 0 ? " (no faults)" : text.toString();
    }
}
