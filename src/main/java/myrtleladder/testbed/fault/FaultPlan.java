package myrtleladder.testbed.fault;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** Faults with the times, in microseconds from the start, at which they set in. */
public record FaultPlan(List<Step> steps) {
    /** No faults at all. */
    public static final FaultPlan QUIET = new FaultPlan(List.of());

    private static final long LONGEST_STEP = 3_600_000_000L;
    private static final long WORST_DRIFT = 200;

    /** One fault at its time. */
    public record Step(long at, Fault fault) {}

    /** Keeps the steps in the order of their times; those of one time stay as they were given. */
    public FaultPlan {
        steps = steps.stream().sorted(Comparator.comparingLong(Step::at)).toList();
    }

    /**
     * Draws a plan whose faults all lie before {@code until}: processes killed, started, paused and
     * let go, links cut one way or both, lossy, slow and healed, clocks stepped and set off.
     */
    public static FaultPlan draw(long seed, List<String> processes, int steps, long until) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Step> drawn = new ArrayList<>();
        for (int i = 0; i < steps; i++) {
            drawn.add(new Step(random.nextLong(until), fault(random, processes)));
        }
        return new FaultPlan(drawn);
    }

    private static Fault fault(SplittableRandom random, List<String> processes) {
        String one = processes.get(random.nextInt(processes.size()));
        String other = processes.get(random.nextInt(processes.size()));
        return switch (random.nextInt(10)) {
            case 0 -> new Fault.Kill(one);
            case 1 -> new Fault.Restart(one);
            case 2 -> new Fault.Pause(one);
            case 3 -> new Fault.Resume(one);
            case 4 -> new Fault.StepClock(one, random.nextLong(-LONGEST_STEP, LONGEST_STEP));
            case 5 -> new Fault.Drift(one, random.nextLong(-WORST_DRIFT, WORST_DRIFT + 1));
            case 6 -> new Fault.Link(one, other, LinkFault.CUT);
            case 7 ->
                    new Fault.Link(
                            one,
                            other,
                            new LinkFault(
                                    false,
                                    random.nextLong(200_000),
                                    random.nextLong(100_000),
                                    random.nextDouble() / 2,
                                    random.nextDouble() / 2));
            case 8 -> new Fault.Heal(one, other);
            default -> new Fault.HealAll();
        };
    }

    /**
     * The least plan that still fails, as far as leaving steps out goes (delta debugging: Zeller
     * and Hildebrandt, "Simplifying and Isolating Failure-Inducing Input", 2002, section 3). {@code
     * fails} has to give the same answer for the same plan each time.
     */
    public FaultPlan shrink(Predicate<FaultPlan> fails) {
        List<Step> left = steps;
        int parts = 2;
        while (!left.isEmpty()) {
            int size = (left.size() + parts - 1) / parts;
            List<Step> smaller = null;
            for (int from = 0; from < left.size() && smaller == null; from += size) {
                List<Step> without = new ArrayList<>(left.subList(0, from));
                without.addAll(left.subList(Math.min(left.size(), from + size), left.size()));
                smaller = fails.test(new FaultPlan(without)) ? without : null;
            }
            if (smaller != null) {
                left = smaller;
                parts = Math.max(2, parts - 1);
            } else if (size == 1) {
                break;
            } else {
                parts = Math.min(left.size(), 2 * parts);
            }
        }
        return new FaultPlan(left);
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
