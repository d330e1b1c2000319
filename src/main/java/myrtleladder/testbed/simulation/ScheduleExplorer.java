package myrtleladder.testbed.simulation;

import java.util.List;
import java.util.Optional;
import myrtleladder.testbed.fault.FaultPlan;

/**
 * Plays one scenario under many drawn plans; tells of the first that fails, and how to see it
 * again.
 */
public final class ScheduleExplorer {
    private ScheduleExplorer() {}

    /** Something that is played under a plan and says what went wrong, if anything. */
    public interface Scenario {
        /** Has to say the same each time for the same seed and plan. */
        Optional<String> play(long seed, FaultPlan plan);
    }

    /** A failure: its seed, the plan as shrunk, and what went wrong under that. */
    public record Finding(long seed, FaultPlan plan, String fault) {
        @Override
        public String toString() {
            return fault + "\n  with seed " + seed + " and the plan" + plan;
        }
    }

    /**
     * Plays seeds one after the other, each with a plan drawn from it; ends with the first that
     * fails.
     */
    public static Optional<Finding> explore(
            long firstSeed,
            int plays,
            List<String> processes,
            int steps,
            long until,
            Scenario scenario) {
        for (long seed = firstSeed; seed < firstSeed + plays; seed++) {
            FaultPlan plan = FaultPlan.draw(seed, processes, steps, until);
            if (scenario.play(seed, plan).isPresent()) {
                long its = seed;
                FaultPlan least = plan.shrink(p -> scenario.play(its, p).isPresent());
                return Optional.of(
                        new Finding(seed, least, scenario.play(seed, least).orElseThrow()));
            }
        }
        return Optional.empty();
    }
}
