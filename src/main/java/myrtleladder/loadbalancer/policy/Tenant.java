package myrtleladder.loadbalancer.policy;

/** A tenant: its allowance in requests a second across all balancers, 0 for none stated. */
public record Tenant(double allowance, double share) {}
