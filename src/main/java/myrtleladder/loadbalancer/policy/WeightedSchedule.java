package myrtleladder.loadbalancer.policy;

import java.util.Collection;

/**
 * Picks in proportion to weight / (in-flight + 1)^bias by earliest deadline first: each candidate's
 * deadline is the inverse of that figure behind its own last pick, and the earliest is taken. One
 * that could not be picked for a while is due at once, but is owed no more than that.
 */
public final class WeightedSchedule {
    private final double bias;
    private double clock;

    /** A candidate; its place in time is the schedule's own. */
    public static class Candidate extends Reweighting.Weighed {
        /** The deadline at which it was picked last, or the schedule's time when it came. */
        private double since = Double.NaN;

        /** What of its work is under way, in requests. */
        public double inFlight() {
            return 0;
        }
    }

    /** Creates a schedule with an exponent for what is in flight. */
    public WeightedSchedule(double bias) {
        this.bias = bias;
    }

    /** Picks one of the candidates, null if there are none. */
    public <T extends Candidate> T pick(Collection<T> candidates) {
        T earliest = null;
        double deadline = Double.POSITIVE_INFINITY;
        for (T candidate : candidates) {
            double turn = Math.pow(candidate.inFlight() + 1, bias) / candidate.weight;
            Candidate state = candidate;
            state.since = Double.isNaN(state.since) ? clock : state.since;
            double due = Math.max(clock, state.since + turn);
            if (due < deadline) {
                deadline = due;
                earliest = candidate;
            }
        }
        if (earliest != null) {
            Candidate chosen = earliest;
            clock = deadline;
            chosen.since = deadline;
        }
        return earliest;
    }
}
