package myrtleladder.dataplane;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.Tenant;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.QuotaResponse;

/**
 * Acquires tenants' quota units from the primary, which holds the buckets. Without its response a
 * balancer falls back to a bucket of its own: it goes on with an equal part of the quota for a
 * short time, and with a small part from then on, since the others may reach the primary and get
 * all of it. Confined to the event loop.
 */
final class TenantQuotaClient {
    /** Time in which the primary has to answer. */
    private static final long REQUEST_TIMEOUT_MS = 250;

    /** Time without requests to a primary that did not answer. */
    private static final long RETRY_INTERVAL_MS = 400;

    /** Longest time for which a bucket found empty is not asked for again. */
    private static final long MAX_EMPTY_MS = 100;

    /** Time without a primary for which the equal part is used. */
    private static final long EQUAL_PART_DURATION_MS = 4_000;

    /** Share of an equal part of the quota that is used at first. */
    private static final double EQUAL_PART = 0.85;

    /** Share of an equal part of the quota that is used from then on. */
    private static final double REDUCED_PART = 0.25;

    /** Capacity of a fallback bucket, in seconds of its rate. */
    private static final double FALLBACK_CAPACITY_S = 0.5;

    /** Keeps a division by the rate finite. */
    private static final double MIN_RATE_PER_S = 1e-6;

    private static final long NEVER = Long.MAX_VALUE;

    /** Grants quota units; a client's view of the primary. */
    interface QuotaAllocator {
        /**
         * Requests units from the primary, or returns them if they are negative.
         *
         * @param callback receives the response, null if none came in time
         */
        void request(QuotaRequest request, long timeoutMs, Consumer<Message> callback);
    }

    private final QuotaAllocator allocator;
    private final SplittableRandom random;
    private final Map<String, TenantState> tenants = new HashMap<>();
    private int balancers = 1;
    private long unansweredSinceMs = NEVER;
    private long nextRequestAtMs;
    private long clockMs;

    /** What is known of one tenant's quota. */
    private static final class TenantState {
        Tenant tenant;

        /** Granted units that are not used yet. */
        double grantedUnits;

        long emptyUntilMs;

        /** Units in the fallback bucket; negative as a debt. */
        double fallbackUnits;

        long fallbackUpdatedAtMs = Long.MIN_VALUE;
    }

    /** Creates a client; the seed draws the first debts of fallback buckets. */
    TenantQuotaClient(QuotaAllocator allocator, long seed) {
        this.allocator = allocator;
        this.random = new SplittableRandom(seed);
    }

    /** Takes the tenants of a newer configuration; granted units of those that stay are kept. */
    void applyConfiguration(Configuration configuration) {
        Map<String, TenantState> before = new HashMap<>(tenants);
        tenants.clear();
        for (Tenant tenant : configuration.tenants()) {
            TenantState state = before.getOrDefault(tenant.name(), new TenantState());
            state.tenant = tenant;
            tenants.put(tenant.name(), state);
        }
    }

    /** Sets the number of balancers among which quotas are divided without a primary. */
    void setBalancers(int count) {
        balancers = Math.max(1, count);
    }

    /**
     * The units of a request.
     *
     * @param usedTokens prompt and completion tokens, 0 if they are not known
     */
    static double cost(Tenant tenant, int usedTokens) {
        if (!tenant.countsTokens()) {
            return 1;
        }
        return usedTokens > 0 ? usedTokens : tenant.defaultTokens();
    }

    /**
     * Acquires the units of a request, at once or after a round trip to the primary.
     *
     * @param callback receives 0 once the request is within the quota, or the milliseconds until
     *     one would be
     */
    void acquire(Tenant tenant, double cost, long nowMs, LongConsumer callback) {
        TenantState state = tenants.get(tenant.name());
        if (state == null || !isLimited(tenant)) {
            callback.accept(0);
        } else if (state.grantedUnits >= cost) {
            state.grantedUnits -= cost;
            callback.accept(0);
        } else if (nowMs < state.emptyUntilMs) {
            callback.accept(state.emptyUntilMs - nowMs);
        } else if (nowMs < nextRequestAtMs) {
            callback.accept(acquireFromFallback(state, cost, nowMs));
        } else {
            allocator.request(
                    QuotaRequest.of(tenant.name(), cost - state.grantedUnits),
                    REQUEST_TIMEOUT_MS,
                    response -> responseReceived(state, cost, response, callback));
        }
    }

    private static boolean isLimited(Tenant tenant) {
        return tenant.ratePerSecond() > 0;
    }

    /** Advances the clock by which responses are taken; called between them. */
    void advanceClock(long nowMs) {
        clockMs = Math.max(clockMs, nowMs);
    }

    private void responseReceived(
            TenantState state, double cost, Message response, LongConsumer callback) {
        if (!(response instanceof QuotaResponse grant) || !grant.fromPrimary) {
            unansweredSinceMs = Math.min(unansweredSinceMs, clockMs);
            nextRequestAtMs = clockMs + RETRY_INTERVAL_MS;
            callback.accept(acquireFromFallback(state, cost, clockMs));
            return;
        }
        unansweredSinceMs = NEVER;
        state.grantedUnits += grant.grantedUnits;
        if (state.grantedUnits >= cost) {
            state.grantedUnits -= cost;
            callback.accept(0);
            return;
        }
        state.emptyUntilMs = clockMs + Math.min(MAX_EMPTY_MS, grant.waitMs);
        callback.accept(Math.max(1, grant.waitMs));
    }

    /** Acquires without the primary; returns 0 or the milliseconds until a request would pass. */
    private long acquireFromFallback(TenantState state, double cost, long nowMs) {
        double ratePerS = fallbackRatePerS(state.tenant, nowMs);
        refillFallback(state, cost, ratePerS, nowMs);
        if (state.fallbackUnits >= 0) {
            state.fallbackUnits -= cost;
            return 0;
        }
        double debt = -state.fallbackUnits;
        return Math.max(1, Math.round(debt / Math.max(ratePerS, MIN_RATE_PER_S) * 1_000));
    }

    private double fallbackRatePerS(Tenant tenant, long nowMs) {
        boolean isEqualPart = nowMs - unansweredSinceMs <= EQUAL_PART_DURATION_MS;
        double part = isEqualPart ? EQUAL_PART : REDUCED_PART;
        return tenant.ratePerSecond() * part / balancers;
    }

    private void refillFallback(TenantState state, double cost, double ratePerS, long nowMs) {
        if (state.fallbackUpdatedAtMs < unansweredSinceMs) {
            // A request may leave a debt, and all balancers begin at once: each with a part of one.
            state.fallbackUnits = -random.nextDouble() * cost;
        }
        long refilledUntilMs = Math.max(state.fallbackUpdatedAtMs, unansweredSinceMs);
        double gained = ratePerS * (nowMs - refilledUntilMs) / 1_000;
        double capacity = ratePerS * FALLBACK_CAPACITY_S;
        state.fallbackUnits = Math.min(capacity, state.fallbackUnits + Math.max(0, gained));
        state.fallbackUpdatedAtMs = nowMs;
    }

    /**
     * Refunds the units of a request that did not run: to where they came from, so that no balancer
     * keeps units which the others could use.
     */
    void refund(Tenant tenant, double cost) {
        TenantState state = tenants.get(tenant.name());
        if (state == null || !isLimited(tenant)) {
            return;
        }
        if (unansweredSinceMs == NEVER) {
            QuotaRequest refund = QuotaRequest.of(tenant.name(), -cost);
            allocator.request(refund, REQUEST_TIMEOUT_MS, response -> {});
        } else {
            state.fallbackUnits = Math.min(0, state.fallbackUnits + cost);
        }
    }
}
