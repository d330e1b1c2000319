package yewyoke.dataplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import yewyoke.configuration.Configuration;
import yewyoke.configuration.Tenant;
import yewyoke.message.TenantDemand;
import yewyoke.message.TenantShare;

/**
 * This balancer's part of the quotas. The control plane divides each quota by demand; out of touch with it, a
 * balancer falls back to a small equal part, since what it had may be given to others by then.
 */
final class TenantQuotas {
    private static final long TRUSTED = 10_000;
    private static final double EQUAL_PART = 0.25;
    private static final double DEMAND_SMOOTH = 0.25;
    private static final double DEMAND_PERIOD = 1_000;

    private final Map<String, Bucket> buckets = new HashMap<>();
    private final Map<String, Double> shares = new HashMap<>();
    private int balancers = 1;
    private long sharesAt;

    private static final class Bucket {
        Tenant tenant;
        double tokens;
        long filledAt;
        double asked;
        double demand;
        long measuredAt;
    }

    void use(Configuration configuration, long now) {
        Map<String, Bucket> before = new HashMap<>(buckets);
        buckets.clear();
        for (Tenant tenant : configuration.tenants()) {
            Bucket bucket = before.get(tenant.name());
            if (bucket == null) {
                bucket = new Bucket();
                bucket.filledAt = now;
                bucket.measuredAt = now;
            }
            bucket.tenant = tenant;
            buckets.put(tenant.name(), bucket);
        }
    }

    void share(List<TenantShare> told, int count, long now) {
        balancers = Math.max(1, count);
        sharesAt = now;
        told.forEach(s -> shares.put(s.tenant, s.share));
    }

    private double share(String tenant, long now) {
        double equal = 1.0 / balancers;
        double share = shares.getOrDefault(tenant, equal);
        return now - sharesAt <= TRUSTED ? share : Math.min(share, EQUAL_PART * equal);
    }

    /** What a request counts. */
    static double cost(Tenant tenant, int usage) {
        return !tenant.countsTokens() ? 1 : usage > 0 ? usage : tenant.plainTokens();
    }

    /** Takes a request into account; 0 if it is within the quota, else milliseconds until one would be. */
    long admit(Tenant tenant, double cost, long now) {
        Bucket bucket = buckets.get(tenant.name());
        if (bucket == null || tenant.ratePerSecond() <= 0) {
            return 0;
        }
        bucket.asked += cost;
        double share = share(tenant.name(), now);
        double rate = tenant.ratePerSecond() * share;
        double most = Math.max(tenant.burst() * share, rate);
        bucket.tokens = Math.min(most, bucket.tokens + rate * (now - bucket.filledAt) / 1_000);
        bucket.filledAt = now;
        if (bucket.tokens > 0) {
            bucket.tokens -= cost;
            return 0;
        }
        return Math.max(1, Math.round(-bucket.tokens / Math.max(rate, 1e-6) * 1_000));
    }

    /** Gives back what a request that did not run was counted. */
    void giveBack(Tenant tenant, double cost) {
        Bucket bucket = buckets.get(tenant.name());
        if (bucket != null) {
            bucket.tokens += cost;
        }
    }

    /** The demand of clients, smoothed. */
    List<TenantDemand> demand(long now) {
        List<TenantDemand> demand = new ArrayList<>();
        buckets.forEach((name, bucket) -> {
            long span = now - bucket.measuredAt;
            if (span >= DEMAND_PERIOD) {
                double rate = bucket.asked * 1_000 / span;
                bucket.demand = bucket.demand == 0 ? rate
                        : bucket.demand + DEMAND_SMOOTH * (rate - bucket.demand);
                bucket.asked = 0;
                bucket.measuredAt = now;
            }
            demand.add(TenantDemand.of(name, bucket.demand));
        });
        return demand;
    }
}
