package myrtleladder.loadbalancer.policy;

import java.util.List;

/**
 * A token bucket of one second for this balancer's part of each tenant's allowance. What lies
 * beyond it only loses its place among queued requests: that part is a guess, since traffic is not
 * spread alike.
 */
final class TenantShares {
    private static final double MICROS_PER_SECOND = 1e6;

    private final List<Tenant> tenants;
    private final int groupSize;
    private final double[] tokens;
    private final long[] tokensAtUs;

    TenantShares(List<Tenant> tenants, int groupSize) {
        this.tenants = tenants;
        this.groupSize = groupSize;
        this.tokens = new double[tenants.size()];
        this.tokensAtUs = new long[tenants.size()];
    }

    /** Takes a token; whether there was one, or the tenant is unknown or has no allowance. */
    boolean tryTake(int tenant, long nowUs) {
        if (tenant < 0 || tenant >= tokensAtUs.length || tenants.get(tenant).allowance() <= 0) {
            return true;
        }
        double perSecond = tenants.get(tenant).allowance() / groupSize;
        double earned = perSecond * (nowUs - tokensAtUs[tenant]) / MICROS_PER_SECOND;
        double available = Math.min(Math.max(perSecond, 1), tokens[tenant] + earned);
        tokensAtUs[tenant] = nowUs;
        tokens[tenant] = available >= 1 ? available - 1 : available;
        return available >= 1;
    }
}
