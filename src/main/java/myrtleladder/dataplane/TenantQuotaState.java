package myrtleladder.dataplane;

import myrtleladder.configuration.Tenant;

/** Quota state of one tenant at this balancer. Confined to the event loop. */
final class TenantQuotaState {
    final FallbackBucket fallback;
    final UnreportedUsage unreported = new UnreportedUsage();
    final QuotaUsage usage = new QuotaUsage();
    Tenant tenant;

    /** Units granted by the primary and not used yet. */
    double grantedUnits;

    /** When units may be requested again, after the bucket at the primary was empty. */
    long bucketEmptyUntilMs;

    /** Creates a state without units; {@code initialDebt} is from 0 to 1. */
    TenantQuotaState(double initialDebt) {
        fallback = new FallbackBucket(initialDebt);
    }
}
