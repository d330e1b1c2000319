package myrtleladder.loadbalancer.policy;

import java.util.Collection;

/**
 * Weighted round-robin by earliest deadline first (EDF): picks in proportion to weight / (in-flight
 * + 1)^bias. Each candidate's deadline is the inverse of that figure behind its own last pick, and
 * the earliest is taken. One that could not be picked for a while is due at once, but is owed no
 * more than that. Not safe for use by several threads at once.
 */
public final class EarliestDeadlineFirstScheduler {
    private final double bias;

    /** Virtual time: the deadline of the last pick. */
    private double virtualTime;

    /** A candidate; its place in virtual time is the scheduler's own. */
    public static class Candidate extends UtilisationWeights.Weighted {
        /** The deadline at which it was picked last, or the virtual time when it came. */
        private double lastDeadline = Double.NaN;

        /** What of its work is in flight, in requests. */
        public double inFlight() {
            return 0;
        }
    }

    /** Creates a scheduler with an exponent for what is in flight. */
    public EarliestDeadlineFirstScheduler(double bias) {
        this.bias = bias;
    }

    /** Picks one of the candidates, null if there are none. */
    public <T extends Candidate> T pick(Collection<T> candidates) {
        T earliest = null;
        double earliestDeadline = Double.POSITIVE_INFINITY;
        for (T candidate : candidates) {
            double deadline = deadlineOf(candidate);
            if (deadline < earliestDeadline) {
                earliestDeadline = deadline;
                earliest = candidate;
            }
        }
        if (earliest != null) {
            Candidate chosen = earliest;
            virtualTime = earliestDeadline;
            chosen.lastDeadline = earliestDeadline;
        }
        return earliest;
    }

    private double deadlineOf(Candidate candidate) {
        if (Double.isNaN(candidate.lastDeadline)) {
            candidate.lastDeadline = virtualTime;
        }
        double interval = Math.pow(candidate.inFlight() + 1, bias) / candidate.weight;
        return Math.max(virtualTime, candidate.lastDeadline + interval);
    }
}
