package myrtleladder.loadbalancer.policy;

import java.util.Collection;

/**
 * Weighted round-robin by earliest deadline first (EDF): picks in proportion to weight / (in-flight
 * + 1)^bias. The deadline of a candidate is that of its last pick plus the inverse of this value,
 * and the candidate with the earliest deadline is picked. One that was not available for a while is
 * due at once, but does not catch up on the picks that it missed. Not safe for use by several
 * threads at once.
 */
public final class EarliestDeadlineFirstScheduler {
    private final double bias;

    /** Virtual time: the deadline of the last pick. */
    private double virtualTime;

    /** A candidate. Its position in virtual time belongs to one scheduler. */
    public static class Candidate extends UtilisationWeights.Weighted {
        /** The deadline of its last pick, or the virtual time at which it was first seen. */
        private double lastDeadline = Double.NaN;

        /** Its load in flight, in requests. */
        public double inFlight() {
            return 0;
        }
    }

    /** Creates a scheduler with an exponent for the load in flight. */
    public EarliestDeadlineFirstScheduler(double bias) {
        this.bias = bias;
    }

    /** Picks one of the candidates; null if there are none. */
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
