package myrtleladder.controlplane;

import java.util.HashMap;
import java.util.Map;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.Tenant;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.QuotaResponse;

/**
 * Rate limits of all tenants on the primary. Balancers request units, which are consumed from the
 * tenant's {@link TokenBucket}.
 *
 * <p>Invariant: each tenant with a rate in the current configuration has a bucket; all other
 * tenants are not limited. Confined to the event loop.
 */
final class QuotaAllocator {
    /** Fraction of the allowed overage that is added to a bucket's rate. */
    private static final double USED_FRACTION_OF_OVERAGE = 0.5;

    /** Fraction of the allowed slack that is added to a bucket's capacity. */
    private static final double USED_FRACTION_OF_SLACK = 0.25;

    /**
     * Initial fill level of a bucket, as a fraction of its capacity, if an earlier primary may have
     * granted units to the tenant.
     */
    private static final double INITIAL_FILL_AFTER_FAILOVER = 0.1;

    /** Fill level, as a fraction of the capacity, above which units are granted in advance. */
    private static final double MIN_FILL_FOR_ADVANCE = 0.5;

    /** Fraction of the slack that all balancers together may have been granted in advance. */
    private static final double ADVANCE_FRACTION_OF_SLACK = 0.25;

    private final double overageRatio;
    private final double slackUnits;
    private final Map<String, TokenBucket> bucketByTenant = new HashMap<>();
    private int balancerCount = 1;

    /**
     * Creates an allocator without tenants.
     *
     * @param overageRatio the fraction by which grants may exceed the rate over any window
     * @param slackUnits the units that may be granted at once beyond that
     */
    QuotaAllocator(double overageRatio, double slackUnits) {
        this.overageRatio = overageRatio;
        this.slackUnits = slackUnits;
    }

    /** Removes all buckets, since their levels are outdated when another node has been primary. */
    void clear() {
        bucketByTenant.clear();
    }

    /**
     * Applies the quotas of a configuration. Tenants that already have a bucket keep its level.
     *
     * @param isFirst whether this is the first configuration, so that nothing was granted before
     *     and buckets start full
     */
    void configure(Configuration configuration, boolean isFirst, long nowMs) {
        Map<String, TokenBucket> previousBuckets = new HashMap<>(bucketByTenant);
        bucketByTenant.clear();
        for (Tenant tenant : configuration.tenants()) {
            if (tenant.ratePerSecond() > 0) {
                TokenBucket previousBucket = previousBuckets.get(tenant.name());
                bucketByTenant.put(
                        tenant.name(), createBucket(tenant, previousBucket, isFirst, nowMs));
            }
        }
    }

    /** Creates the bucket of a tenant; {@code previousBucket} is its previous bucket, or null. */
    private TokenBucket createBucket(
            Tenant tenant, TokenBucket previousBucket, boolean isFirst, long nowMs) {
        double ratePerS = tenant.ratePerSecond() * (1 + overageRatio * USED_FRACTION_OF_OVERAGE);
        double capacity = Math.max(tenant.burst(), 1) + slackUnits * USED_FRACTION_OF_SLACK;
        if (previousBucket == null) {
            double level = capacity * (isFirst ? 1 : INITIAL_FILL_AFTER_FAILOVER);
            return new TokenBucket(ratePerS, capacity, level, nowMs);
        }
        previousBucket.refill(nowMs);
        return new TokenBucket(ratePerS, capacity, previousBucket.level(), nowMs);
    }

    /** Sets the number of balancers among which the advance grants are divided. */
    void setBalancerCount(int count) {
        balancerCount = Math.max(1, count);
    }

    /**
     * Grants the units that a balancer requests, or responds with the time after which it should
     * retry. A negative number of units returns unused units to the bucket.
     */
    QuotaResponse grant(QuotaRequest request, long nowMs) {
        TokenBucket bucket = bucketByTenant.get(request.tenant);
        if (bucket == null) {
            return QuotaResponse.of(true, request.units, 0);
        }
        bucket.refill(nowMs);
        if (request.units < 0) {
            bucket.refund(-request.units);
            return QuotaResponse.of(true, 0, 0);
        }
        if (bucket.level() <= 0) {
            return QuotaResponse.of(true, 0, bucket.timeUntilPositiveMs());
        }
        double advanceUnits = bucket.isFilledAbove(MIN_FILL_FOR_ADVANCE) ? maxAdvanceUnits() : 0;
        bucket.consume(request.units + advanceUnits);
        return QuotaResponse.of(true, request.units + advanceUnits, 0);
    }

    /**
     * Returns the maximum number of a tenant's units that one balancer may have been granted in
     * advance.
     */
    private double maxAdvanceUnits() {
        return ADVANCE_FRACTION_OF_SLACK * slackUnits / balancerCount;
    }
}
