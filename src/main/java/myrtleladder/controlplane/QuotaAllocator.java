package myrtleladder.controlplane;

import java.util.HashMap;
import java.util.Map;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.Tenant;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.QuotaResponse;

/**
 * The quotas of all tenants, kept by the primary: balancers take from a tenant's {@link
 * TokenBucket} what their requests count.
 *
 * <p>Invariant: each tenant with a rate in the configuration in force has a bucket, all others are
 * not limited. Confined to the event loop.
 */
final class QuotaAllocator {
    /** The part of the allowed overage by which a bucket's rate is raised. */
    private static final double USED_SHARE_OF_OVERAGE = 0.5;

    /** The part of the allowed slack that is added to a bucket's capacity. */
    private static final double USED_SHARE_OF_SLACK = 0.25;

    /** How full a bucket starts if another primary may have granted from it before. */
    private static final double INITIAL_LEVEL_OF_NEW_PRIMARY = 0.1;

    /** How full a bucket has to be for grants in advance. */
    private static final double MIN_LEVEL_FOR_ADVANCE = 0.5;

    /** The part of the slack that all balancers together may hold in advance. */
    private static final double SHARE_OF_SLACK_IN_ADVANCE = 0.25;

    private final double overageShare;
    private final double slackUnits;
    private final Map<String, TokenBucket> bucketByTenant = new HashMap<>();
    private int balancerCount = 1;

    /**
     * Creates an allocator without tenants.
     *
     * @param overageShare by which share more than the rate may be granted over any window
     * @param slackUnits how many units beyond that may be granted at once
     */
    QuotaAllocator(double overageShare, double slackUnits) {
        this.overageShare = overageShare;
        this.slackUnits = slackUnits;
    }

    /** Forgets all levels: another node granted until now. */
    void clear() {
        bucketByTenant.clear();
    }

    /**
     * Goes over to the quotas of a configuration; tenants that it keeps keep their levels.
     *
     * @param isFirst whether nothing was granted before, so that buckets start full
     */
    void configure(Configuration configuration, boolean isFirst, long nowMs) {
        Map<String, TokenBucket> previous = new HashMap<>(bucketByTenant);
        bucketByTenant.clear();
        for (Tenant tenant : configuration.tenants()) {
            if (tenant.ratePerSecond() > 0) {
                TokenBucket known = previous.get(tenant.name());
                bucketByTenant.put(tenant.name(), bucketFor(tenant, known, isFirst, nowMs));
            }
        }
    }

    /** The bucket of a tenant; {@code known} is the one before, null if there was none. */
    private TokenBucket bucketFor(Tenant tenant, TokenBucket known, boolean isFirst, long nowMs) {
        double ratePerS = tenant.ratePerSecond() * (1 + overageShare * USED_SHARE_OF_OVERAGE);
        double capacity = Math.max(tenant.burst(), 1) + slackUnits * USED_SHARE_OF_SLACK;
        if (known == null) {
            double level = capacity * (isFirst ? 1 : INITIAL_LEVEL_OF_NEW_PRIMARY);
            return new TokenBucket(ratePerS, capacity, level, nowMs);
        }
        known.refill(nowMs);
        return new TokenBucket(ratePerS, capacity, known.level(), nowMs);
    }

    /** Sets how many balancers share what is granted in advance. */
    void setBalancerCount(int count) {
        balancerCount = Math.max(1, count);
    }

    /**
     * Grants the units that a balancer requests, or responds with the time after which there may be
     * some. A negative number of units is put back.
     */
    QuotaResponse grant(QuotaRequest request, long nowMs) {
        TokenBucket bucket = bucketByTenant.get(request.tenant);
        if (bucket == null) {
            return QuotaResponse.of(true, request.units, 0);
        }
        bucket.refill(nowMs);
        if (request.units < 0) {
            bucket.putBack(-request.units);
            return QuotaResponse.of(true, 0, 0);
        }
        if (bucket.level() <= 0) {
            return QuotaResponse.of(true, 0, bucket.msUntilPositive());
        }
        double advance = bucket.isAbove(MIN_LEVEL_FOR_ADVANCE) ? maxAdvance() : 0;
        bucket.take(request.units + advance);
        return QuotaResponse.of(true, request.units + advance, 0);
    }

    /** The units that one balancer may hold of a tenant in advance. */
    private double maxAdvance() {
        return SHARE_OF_SLACK_IN_ADVANCE * slackUnits / balancerCount;
    }
}
