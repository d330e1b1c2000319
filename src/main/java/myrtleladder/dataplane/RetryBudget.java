package myrtleladder.dataplane;

import java.util.HashMap;
import java.util.Map;

/**
 * This balancer's part of the budget for retries of each service, as a token bucket: requests earn
 * a ratio each, which adds up over all balancers by itself, and the bucket holds an equal part of
 * the slack. Confined to the event loop.
 */
final class RetryBudget {
    /** Part of the configured ratio that is used. */
    private static final double USED_RATIO = 0.7;

    /** Part of the configured slack that is used. */
    private static final double USED_SLACK = 0.6;

    /** Filling of a new balancer's bucket: its last process used some. */
    private static final double INITIAL_FILLING = 0.5;

    private final double earnedPerRequest;
    private final int slack;
    private final Map<String, Double> tokens = new HashMap<>();
    private int balancers = 1;

    /**
     * Creates a budget.
     *
     * @param ratio retries for each request that all balancers together may make
     * @param slack retries beyond the ratio that all balancers together may make
     */
    RetryBudget(double ratio, int slack) {
        this.earnedPerRequest = ratio * USED_RATIO;
        this.slack = slack;
    }

    /** Sets the number of balancers that share the slack. */
    void setBalancers(int count) {
        balancers = Math.max(1, count);
    }

    private double capacity() {
        return Math.max(1, slack * USED_SLACK / balancers);
    }

    /** Earns a part of a retry for a client's request. */
    void recordRequest(String service) {
        tokens.put(service, Math.min(capacity(), available(service) + earnedPerRequest));
    }

    private double available(String service) {
        return tokens.getOrDefault(service, capacity() * INITIAL_FILLING);
    }

    /** Takes a retry out of the budget; false if there is none left. */
    boolean tryAcquire(String service) {
        double available = available(service);
        if (available < 1) {
            return false;
        }
        tokens.put(service, available - 1);
        return true;
    }
}
