package myrtleladder.dataplane;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.Tenant;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.QuotaResponse;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Acquires quota units of tenants from their token buckets at the primary. While the primary does
 * not respond, this balancer uses a {@link FallbackBucket} for each tenant. Confined to the event
 * loop.
 */
final class TenantQuotaClient {
    /** Timeout of a request to the primary. */
    private static final long REQUEST_TIMEOUT_MS = 250;

    /** Time without requests to the primary after it did not respond. */
    private static final long PRIMARY_RETRY_INTERVAL_MS = 400;

    /** Maximum time without requests for a tenant whose bucket at the primary is empty. */
    private static final long MAX_EMPTY_BACKOFF_MS = 100;

    private static final long USAGE_LOG_INTERVAL_MS = 10_000;
    private static final long NEVER_MS = Long.MAX_VALUE;
    private static final Logger LOG = LogManager.getLogger(TenantQuotaClient.class);

    /** Sends quota requests to the primary. */
    interface QuotaAllocator {
        /**
         * Requests units from the primary; a negative number of units is a refund.
         *
         * @param callback receives the response, or null on timeout
         */
        void request(QuotaRequest request, long timeoutMs, Consumer<Message> callback);
    }

    private final QuotaAllocator allocator;
    private final SplittableRandom random;
    private final Map<String, TenantState> tenants = new HashMap<>();

    /** Number of balancers among which quotas are divided, 0 if it is not known. */
    private int balancerCount;

    private long primaryUnavailableSinceMs = NEVER_MS;
    private long nextPrimaryRequestAtMs;
    private long clockMs;
    private long nextUsageLogAtMs;
    private double loggedUnitsWithoutPrimary;

    /** Quota state of one tenant. */
    private static final class TenantState {
        final FallbackBucket fallback;
        final QuotaUsage usage = new QuotaUsage();
        Tenant tenant;

        /** Units granted by the primary and not used yet. */
        double grantedUnits;

        long bucketEmptyUntilMs;

        TenantState(double initialDebt) {
            fallback = new FallbackBucket(initialDebt);
        }
    }

    /** Creates a client; the seed determines the random initial debts of fallback buckets. */
    TenantQuotaClient(QuotaAllocator allocator, long seed) {
        this.allocator = allocator;
        this.random = new SplittableRandom(seed);
    }

    /** Applies the tenants of a new configuration; tenants that remain keep their state. */
    void applyConfiguration(Configuration configuration) {
        Map<String, TenantState> previousStates = new HashMap<>(tenants);
        tenants.clear();
        for (Tenant tenant : configuration.tenants()) {
            TenantState state = previousStates.get(tenant.name());
            if (state == null) {
                state = new TenantState(random.nextDouble());
            }
            state.tenant = tenant;
            tenants.put(tenant.name(), state);
        }
    }

    /**
     * Sets the number of balancers among which quotas are divided without the primary.
     *
     * @param isComplete whether all balancers have had time to poll the primary; if not, the number
     *     may be too low and is used only if it is higher than the one before
     */
    void setBalancerCount(int count, boolean isComplete) {
        if (isComplete) {
            balancerCount = Math.max(1, count);
        } else if (balancerCount > 0) {
            balancerCount = Math.max(balancerCount, count);
        }
    }

    /**
     * Number of quota units that a request uses.
     *
     * @param usedTokens prompt and completion tokens, 0 if not known
     */
    static double costUnits(Tenant tenant, int usedTokens) {
        if (!tenant.countsTokens()) {
            return 1;
        }
        return usedTokens > 0 ? usedTokens : tenant.defaultTokens();
    }

    /**
     * Acquires the units of a request, immediately or after a round trip to the primary.
     *
     * @param callback receives 0 if the units were acquired, otherwise the milliseconds after which
     *     a retry may succeed
     */
    void acquire(Tenant tenant, double costUnits, long nowMs, LongConsumer callback) {
        TenantState state = tenants.get(tenant.name());
        if (state == null || !isLimited(tenant)) {
            callback.accept(0);
        } else if (state.grantedUnits >= costUnits) {
            useGrantedUnits(state, costUnits, callback);
        } else if (nowMs < state.bucketEmptyUntilMs) {
            callback.accept(state.bucketEmptyUntilMs - nowMs);
        } else if (nowMs < nextPrimaryRequestAtMs) {
            callback.accept(acquireFromFallback(state, costUnits, nowMs));
        } else {
            allocator.request(
                    QuotaRequest.of(tenant.name(), costUnits - state.grantedUnits),
                    REQUEST_TIMEOUT_MS,
                    response -> responseReceived(state, costUnits, response, callback));
        }
    }

    private static boolean isLimited(Tenant tenant) {
        return tenant.ratePerSecond() > 0;
    }

    private static void useGrantedUnits(
            TenantState state, double costUnits, LongConsumer callback) {
        state.grantedUnits -= costUnits;
        state.usage.addGranted(costUnits);
        callback.accept(0);
    }

    /**
     * Advances the clock that is read when responses arrive. To be called before {@link #acquire}
     * and periodically in between.
     */
    void advanceClock(long nowMs) {
        clockMs = Math.max(clockMs, nowMs);
    }

    private void responseReceived(
            TenantState state, double costUnits, Message response, LongConsumer callback) {
        if (!(response instanceof QuotaResponse grant) || !grant.fromPrimary) {
            primaryUnavailableSinceMs = Math.min(primaryUnavailableSinceMs, clockMs);
            nextPrimaryRequestAtMs = clockMs + PRIMARY_RETRY_INTERVAL_MS;
            callback.accept(acquireFromFallback(state, costUnits, clockMs));
            return;
        }
        primaryUnavailableSinceMs = NEVER_MS;
        nextPrimaryRequestAtMs = clockMs;
        state.grantedUnits += grant.grantedUnits;
        if (state.grantedUnits >= costUnits) {
            useGrantedUnits(state, costUnits, callback);
            return;
        }
        state.bucketEmptyUntilMs = clockMs + Math.min(MAX_EMPTY_BACKOFF_MS, grant.waitMs);
        callback.accept(Math.max(1, grant.waitMs));
    }

    /** Acquires from the fallback bucket; returns 0 or the milliseconds until the next request. */
    private long acquireFromFallback(TenantState state, double costUnits, long nowMs) {
        FallbackBucket.Outcome outcome =
                balancerCount == 0
                        ? FallbackBucket.Outcome.REJECTED
                        : state.fallback.acquire(
                                costUnits,
                                shareRatePerS(state.tenant),
                                primaryUnavailableSinceMs,
                                nowMs);
        if (outcome.isAdmitted()) {
            state.usage.addFallback(costUnits, outcome.consumedUnits());
            return 0;
        }
        return Math.max(1, nextPrimaryRequestAtMs - nowMs);
    }

    /** This balancer's share of a quota. */
    private double shareRatePerS(Tenant tenant) {
        return tenant.ratePerSecond() / balancerCount;
    }

    /**
     * Refunds the units of a request that did not run. Units go back to the primary, so that other
     * balancers can use them, or to the fallback bucket while the primary is unavailable.
     */
    void refund(Tenant tenant, double costUnits) {
        TenantState state = tenants.get(tenant.name());
        if (state == null || !isLimited(tenant)) {
            return;
        }
        if (primaryUnavailableSinceMs == NEVER_MS) {
            QuotaRequest refund = QuotaRequest.of(tenant.name(), -costUnits);
            allocator.request(refund, REQUEST_TIMEOUT_MS, response -> {});
        } else if (balancerCount > 0) {
            state.fallback.refund(costUnits, shareRatePerS(tenant));
        }
    }

    /**
     * Logs what the tenants used, at most once in an interval and only if some of it was used
     * without the primary since the last time.
     */
    void logUsage(long nowMs) {
        if (nowMs < nextUsageLogAtMs) {
            return;
        }
        nextUsageLogAtMs = nowMs + USAGE_LOG_INTERVAL_MS;
        double unitsWithoutPrimary = 0;
        for (TenantState state : tenants.values()) {
            unitsWithoutPrimary += state.usage.unitsWithoutPrimary();
        }
        if (unitsWithoutPrimary != loggedUnitsWithoutPrimary) {
            loggedUnitsWithoutPrimary = unitsWithoutPrimary;
            LOG.info("quota units used: {}", usage());
        }
    }

    /** What each tenant used at this balancer. */
    Map<String, QuotaUsage> usage() {
        Map<String, QuotaUsage> usageByTenant = new TreeMap<>();
        tenants.forEach((name, state) -> usageByTenant.put(name, state.usage));
        return usageByTenant;
    }
}
