package myrtleladder.controlplane;

import java.util.HashMap;
import java.util.Map;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.Tenant;
import myrtleladder.protocol.QuotaFallbackPolicy;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.QuotaResponse;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Rate limits of all tenants on the primary. Balancers request units, which are consumed from the
 * tenant's {@link TokenBucket}. Units that a balancer uses without the primary are consumed when
 * the balancer reports them; for balancers that are out of contact for longer, units are reserved
 * by refilling the buckets more slowly (see {@link QuotaFallbackPolicy}).
 *
 * <p>Invariant: each tenant with a rate in the current configuration has a bucket; all other
 * tenants are not limited. Confined to the event loop.
 */
final class QuotaAllocator {
    /** Fraction of the allowed overage that is added to a bucket's rate. */
    private static final double USED_FRACTION_OF_OVERAGE = 0.2;

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

    private static final double RESERVED_AFTER_S = QuotaFallbackPolicy.RESERVED_AFTER_MS / 1_000.0;

    private static final Logger LOG = LogManager.getLogger(QuotaAllocator.class);

    private final double overageRatio;
    private final double slackUnits;
    private final Map<String, TenantBucket> bucketByTenant = new HashMap<>();
    private int balancerCount = 1;
    private double reservedShare;

    /** The bucket of a tenant with a rate. */
    private record TenantBucket(Tenant tenant, TokenBucket bucket) {}

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
        Map<String, TenantBucket> previousBuckets = new HashMap<>(bucketByTenant);
        bucketByTenant.clear();
        for (Tenant tenant : configuration.tenants()) {
            if (tenant.ratePerSecond() > 0) {
                TenantBucket previous = previousBuckets.get(tenant.name());
                TokenBucket bucket =
                        createBucket(
                                tenant, previous == null ? null : previous.bucket, isFirst, nowMs);
                bucketByTenant.put(tenant.name(), new TenantBucket(tenant, bucket));
            }
        }
    }

    /** Creates the bucket of a tenant; {@code previousBucket} is its previous bucket, or null. */
    private TokenBucket createBucket(
            Tenant tenant, TokenBucket previousBucket, boolean isFirst, long nowMs) {
        double ratePerS = refillRatePerS(tenant);
        double capacity = Math.max(tenant.burst(), 1) + slackUnits * USED_FRACTION_OF_SLACK;
        if (previousBucket == null) {
            double level = capacity * (isFirst ? 1 : INITIAL_FILL_AFTER_FAILOVER);
            return new TokenBucket(ratePerS, capacity, level, nowMs);
        }
        previousBucket.refill(nowMs);
        return new TokenBucket(ratePerS, capacity, previousBucket.level(), nowMs);
    }

    private double refillRatePerS(Tenant tenant) {
        double rateRatio = 1 + overageRatio * USED_FRACTION_OF_OVERAGE;
        return tenant.ratePerSecond() * (rateRatio - reservedShare);
    }

    /**
     * Sets the share of all quotas that is reserved for balancers out of contact, so that the
     * buckets are refilled more slowly from now on. If the share has grown, the units that those
     * balancers may have used before they counted as out of contact are consumed, unless the
     * primary is new and its buckets were not refilled in that time.
     */
    void setReservedShare(double share, boolean isNewPrimary, long nowMs) {
        if (share == reservedShare) {
            return;
        }
        if (share == 0 || reservedShare == 0) {
            LOG.info("share of quotas reserved for balancers out of contact: {}", share);
        }
        double addedShare = isNewPrimary ? 0 : Math.max(0, share - reservedShare);
        reservedShare = share;
        for (TenantBucket entry : bucketByTenant.values()) {
            entry.bucket.setRate(refillRatePerS(entry.tenant), nowMs);
            entry.bucket.consume(addedShare * entry.tenant.ratePerSecond() * RESERVED_AFTER_S);
        }
    }

    /** Sets the number of balancers among which the advance grants are divided. */
    void setBalancerCount(int count) {
        balancerCount = Math.max(1, count);
    }

    /**
     * Consumes the units that a balancer reports with a request because it used them without the
     * primary. Units of an earlier epoch are not consumed, since this primary's buckets were not
     * refilled in that time.
     */
    void consumeReported(QuotaRequest request, long epoch) {
        TenantBucket entry = bucketByTenant.get(request.tenant);
        if (entry != null && request.fallbackUnits != null && request.fallbackEpoch == epoch) {
            entry.bucket.consume(request.fallbackUnits);
        }
    }

    /**
     * Grants the units that a balancer requests, or responds with the time after which it should
     * retry. A negative number of units returns unused units to the bucket.
     */
    QuotaResponse grant(QuotaRequest request, long nowMs) {
        TenantBucket entry = bucketByTenant.get(request.tenant);
        if (entry == null) {
            return QuotaResponse.of(true, request.units, 0);
        }
        TokenBucket bucket = entry.bucket;
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
