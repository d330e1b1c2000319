package myrtleladder.loadbalancer.policy;

import java.util.List;

/**
 * Token buckets for this balancer's equal part of each tenant's rate limit; each holds the tokens
 * of one second. A request beyond the limit is not rejected but only gets a lower priority, because
 * the tenant's traffic may not be spread evenly over the balancers.
 */
final class TenantTokenBuckets {
    private static final double MICROS_PER_SECOND = 1e6;

    private final List<Tenant> tenants;
    private final int groupSize;
    private final double[] tokens;
    private final long[] tokensAtUs;

    TenantTokenBuckets(List<Tenant> tenants, int groupSize) {
        this.tenants = tenants;
        this.groupSize = groupSize;
        this.tokens = new double[tenants.size()];
        this.tokensAtUs = new long[tenants.size()];
    }

    /**
     * Takes a token and returns whether there was one; always true for an unknown tenant or one
     * without a rate limit.
     */
    boolean tryTake(int tenant, long nowUs) {
        if (tenant < 0
                || tenant >= tokensAtUs.length
                || tenants.get(tenant).rateLimitPerSecond() <= 0) {
            return true;
        }
        double tokensPerSecond = tenants.get(tenant).rateLimitPerSecond() / groupSize;
        double earned = tokensPerSecond * (nowUs - tokensAtUs[tenant]) / MICROS_PER_SECOND;
        double available = Math.min(Math.max(tokensPerSecond, 1), tokens[tenant] + earned);
        tokensAtUs[tenant] = nowUs;
        tokens[tenant] = available >= 1 ? available - 1 : available;
        return available >= 1;
    }
}
