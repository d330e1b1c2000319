package myrtleladder.dataplane;

import java.util.HashMap;
import java.util.Map;

/**
 * This balancer's retry budget for each service, as a token bucket; a retry takes one token. Each
 * client request adds a fixed fraction of a token, so that the retries of all balancers together
 * stay below the configured ratio without coordination. Each balancer's bucket has the same
 * capacity, a fraction of the configured slack divided by the number of balancers, but at least 1.
 * Confined to the event loop.
 */
final class RetryBudget {
    /** Fraction of the configured ratio that is used. */
    private static final double RATIO_FRACTION = 0.7;

    /** Fraction of the configured slack that is used. */
    private static final double SLACK_FRACTION = 0.6;

    /**
     * Initial tokens of a bucket as a fraction of its capacity. Below 1, since an earlier process
     * of this balancer may have spent tokens just before a restart.
     */
    private static final double INITIAL_FILL_FRACTION = 0.5;

    private final double tokensPerRequest;
    private final int slack;
    private final Map<String, Double> tokensByService = new HashMap<>();
    private int balancerCount = 1;

    /**
     * Creates the budgets of one balancer.
     *
     * @param ratio retries per client request that all balancers together may make
     * @param slack retries beyond the ratio that all balancers together may make
     */
    RetryBudget(double ratio, int slack) {
        this.tokensPerRequest = ratio * RATIO_FRACTION;
        this.slack = slack;
    }

    /** Sets the number of balancers that share the slack; a count below 1 is treated as 1. */
    void setBalancerCount(int count) {
        balancerCount = Math.max(1, count);
    }

    /** Capacity of a bucket, in tokens. */
    private double capacity() {
        return Math.max(1, slack * SLACK_FRACTION / balancerCount);
    }

    /** Adds the token fraction of a client request to the budget of its service. */
    void recordRequest(String service) {
        tokensByService.put(
                service, Math.min(capacity(), availableTokens(service) + tokensPerRequest));
    }

    private double availableTokens(String service) {
        return tokensByService.getOrDefault(service, capacity() * INITIAL_FILL_FRACTION);
    }

    /** Takes one token for a retry; returns false if there is less than one. */
    boolean tryAcquire(String service) {
        double available = availableTokens(service);
        if (available < 1) {
            return false;
        }
        tokensByService.put(service, available - 1);
        return true;
    }
}
