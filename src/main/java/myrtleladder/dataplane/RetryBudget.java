package myrtleladder.dataplane;

import java.util.HashMap;
import java.util.Map;

/**
 * This balancer's retry budget for each service, as a token bucket. Each client request adds a
 * fixed fraction of a token, so that the budgets of all balancers add up to the configured ratio
 * without coordination. The capacity of the bucket is an equal fraction of the configured slack.
 * Confined to the event loop.
 */
final class RetryBudget {
    /** Fraction of the configured ratio that is used. */
    private static final double RATIO_FRACTION = 0.7;

    /** Fraction of the configured slack that is used. */
    private static final double SLACK_FRACTION = 0.6;

    /** Initial fill of a bucket; not full, since an earlier process of this balancer spent some. */
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

    /** Sets the number of balancers that share the slack; at least 1 is assumed. */
    void setBalancerCount(int count) {
        balancerCount = Math.max(1, count);
    }

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
        double availableTokens = availableTokens(service);
        if (availableTokens < 1) {
            return false;
        }
        tokensByService.put(service, availableTokens - 1);
        return true;
    }
}
