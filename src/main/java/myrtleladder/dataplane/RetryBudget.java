package myrtleladder.dataplane;

import java.util.HashMap;
import java.util.Map;

/**
 * This balancer's part of the budget for sending requests to a second upstream: a ratio of the
 * requests for the service, which adds up over all balancers by itself, and an equal part of the
 * slack.
 */
final class RetryBudget {
    private static final double RATIO_USED = 0.7;
    private static final double SLACK_USED = 0.6;
    private static final double FIRST_PART =
            0.5; // of a balancer that starts: its last process used some

    private final double ratio;
    private final int slack;
    private final Map<String, Double> tokens = new HashMap<>();
    private int balancers = 1;

    RetryBudget(double ratio, int slack) {
        this.ratio = ratio * RATIO_USED;
        this.slack = slack;
    }

    void balancers(int count) {
        balancers = Math.max(1, count);
    }

    private double most() {
        return Math.max(1, slack * SLACK_USED / balancers);
    }

    /** Counts a client's request for a service. */
    void request(String service) {
        tokens.put(service, Math.min(most(), left(service) + ratio));
    }

    private double left(String service) {
        return tokens.getOrDefault(service, most() * FIRST_PART);
    }

    /** Takes a repeat out of the budget if it has one left. */
    boolean take(String service) {
        double left = left(service);
        if (left < 1) {
            return false;
        }
        tokens.put(service, left - 1);
        return true;
    }
}
