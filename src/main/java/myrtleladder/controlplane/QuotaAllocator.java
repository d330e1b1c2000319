package myrtleladder.controlplane;

import java.util.HashMap;
import java.util.Map;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.Tenant;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.QuotaResponse;

/**
 * The quotas of all tenants, in one place: a bucket for each, from which balancers take what their
 * requests count. A request may leave a debt, so that large ones are not passed over for small
 * ones.
 */
final class QuotaAllocator {
    private static final double OVERAGE_USED = 0.5;
    private static final double SLACK_USED = 0.25;
    private static final double FIRST_LEVEL = 0.1;
    private static final double FULL = 0.5;
    private static final double SLACK_AHEAD = 0.25;

    private final double overage;
    private final double slack;
    private final Map<String, Bucket> buckets = new HashMap<>();
    private int balancers = 1;

    private static final class Bucket {
        double rate;
        double most;
        double level;
        long filledAt;

        void fill(long now) {
            level = Math.min(most, level + rate * (now - filledAt) / 1_000);
            filledAt = now;
        }
    }

    QuotaAllocator(double overage, double slack) {
        this.overage = overage;
        this.slack = slack;
    }

    /** Forgets all levels: another node granted until now. */
    void clear() {
        buckets.clear();
    }

    /** Takes the quotas of a configuration; {@code full} says that nothing was granted before. */
    void use(Configuration configuration, boolean full, long now) {
        Map<String, Bucket> before = new HashMap<>(buckets);
        buckets.clear();
        for (Tenant tenant : configuration.tenants()) {
            if (tenant.ratePerSecond() <= 0) {
                continue;
            }
            Bucket bucket = new Bucket();
            bucket.rate = tenant.ratePerSecond() * (1 + overage * OVERAGE_USED);
            bucket.most = Math.max(tenant.burst(), 1) + slack * SLACK_USED;
            Bucket known = before.get(tenant.name());
            if (known != null) {
                known.fill(now);
                bucket.level = Math.min(bucket.most, known.level);
            } else {
                bucket.level = bucket.most * (full ? 1 : FIRST_LEVEL);
            }
            bucket.filledAt = now;
            buckets.put(tenant.name(), bucket);
        }
    }

    /** How many balancers share what is granted ahead. */
    void balancers(int count) {
        balancers = Math.max(1, count);
    }

    /**
     * Grants what a balancer asks for, or tells when there may be some; a negative number of units
     * is given back.
     */
    QuotaResponse grant(QuotaRequest ask, long now) {
        Bucket bucket = buckets.get(ask.tenant);
        if (bucket == null) {
            return QuotaResponse.of(true, ask.units, 0);
        }
        bucket.fill(now);
        if (ask.units < 0) {
            bucket.level = Math.min(bucket.most, bucket.level - ask.units);
            return QuotaResponse.of(true, 0, 0);
        }
        if (bucket.level <= 0) {
            return QuotaResponse.of(
                    true, 0, Math.max(1, Math.round(-bucket.level / bucket.rate * 1_000)));
        }
        double ahead = bucket.level > FULL * bucket.most ? mostAhead() : 0;
        bucket.level -= ask.units + ahead;
        return QuotaResponse.of(true, ask.units + ahead, 0);
    }

    /** What all balancers keep of a tenant together has to fit into the slack. */
    private double mostAhead() {
        return SLACK_AHEAD * slack / balancers;
    }
}
