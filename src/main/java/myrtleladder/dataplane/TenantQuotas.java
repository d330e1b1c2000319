package myrtleladder.dataplane;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.Tenant;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.QuotaResponse;

/**
 * The quotas as this balancer uses them. The primary grants what requests count; without an answer
 * of it, a balancer goes on with an equal part of the quota for a short time, and with a small one
 * from then on, since the others may be in touch and get the whole.
 */
final class TenantQuotas {
    private static final long ANSWER = 250;
    private static final long ASK_AGAIN = 400;
    private static final long REMEMBER_EMPTY = 100;
    private static final long FULL_PART_FOR = 4_000;
    private static final double FULL_PART = 0.85;
    private static final double SMALL_PART = 0.25;
    private static final double FALLBACK_SECONDS = 0.5;

    /** Where grants come from. */
    interface Bank {
        /** Asks the primary; the answer is null if none came in time. */
        void ask(QuotaRequest ask, long timeoutMs, java.util.function.Consumer<Message> answer);
    }

    private final Bank bank;
    private final SplittableRandom random;
    private final Map<String, Bucket> buckets = new HashMap<>();
    private int balancers = 1;
    private long silentSince = Long.MAX_VALUE;
    private long askAgainAt;
    private long clock;

    private static final class Bucket {
        Tenant tenant;
        double units;
        long emptyUntil;
        double fallback;
        long fallbackAt = Long.MIN_VALUE;
    }

    TenantQuotas(Bank bank, long seed) {
        this.bank = bank;
        this.random = new SplittableRandom(seed);
    }

    void use(Configuration configuration, long now) {
        Map<String, Bucket> before = new HashMap<>(buckets);
        buckets.clear();
        for (Tenant tenant : configuration.tenants()) {
            Bucket bucket = before.getOrDefault(tenant.name(), new Bucket());
            bucket.tenant = tenant;
            buckets.put(tenant.name(), bucket);
        }
    }

    void balancers(int count) {
        balancers = Math.max(1, count);
    }

    /** What a request counts. */
    static double cost(Tenant tenant, int usage) {
        return !tenant.countsTokens() ? 1 : usage > 0 ? usage : tenant.plainTokens();
    }

    /** Hands over 0 once the request is within the quota, or milliseconds until one would be. */
    void admit(Tenant tenant, double cost, long now, LongConsumer decided) {
        Bucket bucket = buckets.get(tenant.name());
        if (bucket == null || tenant.ratePerSecond() <= 0) {
            decided.accept(0);
        } else if (bucket.units >= cost) {
            bucket.units -= cost;
            decided.accept(0);
        } else if (now < bucket.emptyUntil) {
            decided.accept(bucket.emptyUntil - now);
        } else if (now < askAgainAt) {
            decided.accept(fallBack(bucket, cost, now));
        } else {
            bank.ask(
                    QuotaRequest.of(tenant.name(), cost - bucket.units),
                    ANSWER,
                    answer -> answered(bucket, cost, answer, decided));
        }
    }

    /** Tells the time; answers come between two calls. */
    void time(long now) {
        clock = Math.max(clock, now);
    }

    private void answered(Bucket bucket, double cost, Message answer, LongConsumer decided) {
        if (!(answer instanceof QuotaResponse grant) || !grant.fromPrimary) {
            silentSince = Math.min(silentSince, clock);
            askAgainAt = clock + ASK_AGAIN;
            decided.accept(fallBack(bucket, cost, clock));
            return;
        }
        silentSince = Long.MAX_VALUE;
        bucket.units += grant.grantedUnits;
        if (bucket.units >= cost) {
            bucket.units -= cost;
            decided.accept(0);
            return;
        }
        bucket.emptyUntil = clock + Math.min(REMEMBER_EMPTY, grant.waitMs);
        decided.accept(Math.max(1, grant.waitMs));
    }

    private long fallBack(Bucket bucket, double cost, long now) {
        double part = now - silentSince <= FULL_PART_FOR ? FULL_PART : SMALL_PART;
        double rate = bucket.tenant.ratePerSecond() * part / balancers;
        if (bucket.fallbackAt < silentSince) {
            // A request may leave a debt, and all balancers begin at once: each with a part of one.
            bucket.fallback = -random.nextDouble() * cost;
        }
        double gained = rate * (now - Math.max(bucket.fallbackAt, silentSince)) / 1_000;
        bucket.fallback = Math.min(rate * FALLBACK_SECONDS, bucket.fallback + Math.max(0, gained));
        bucket.fallbackAt = now;
        if (bucket.fallback >= 0) {
            bucket.fallback -= cost;
            return 0;
        }
        return Math.max(1, Math.round(-bucket.fallback / Math.max(rate, 1e-6) * 1_000));
    }

    /**
     * Gives back what a request that did not run was counted: to where it came from, so that no
     * balancer keeps units which the others could use.
     */
    void giveBack(Tenant tenant, double cost) {
        Bucket bucket = buckets.get(tenant.name());
        if (bucket == null || tenant.ratePerSecond() <= 0) {
            return;
        }
        if (silentSince == Long.MAX_VALUE) {
            bank.ask(QuotaRequest.of(tenant.name(), -cost), ANSWER, answer -> {});
        } else {
            bucket.fallback = Math.min(0, bucket.fallback + cost);
        }
    }
}
