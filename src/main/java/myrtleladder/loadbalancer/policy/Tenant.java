package myrtleladder.loadbalancer.policy;

/**
 * A tenant.
 *
 * @param rateLimitPerSecond rate limit in requests per second across all balancers; 0 for no limit
 * @param share the setting {@code share}; no decision depends on it
 */
public record Tenant(double rateLimitPerSecond, double share) {}
