package myrtleladder.dataplane;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.Tenant;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.QuotaFallbackPolicy;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.QuotaResponse;

/**
 * Acquires quota units of tenants from their token buckets at the primary. While the primary does
 * not respond, this balancer uses a {@link FallbackBucket} for each tenant. What it uses there is
 * charged to the bucket at the primary: at first this balancer reports it when the primary answers
 * again, and later the primary reserves it (see {@link QuotaFallbackPolicy}). Confined to the event
 * loop.
 */
final class TenantQuotaClient {
    /** Time after which a request is decided without the response of the primary. */
    private static final long DECISION_TIMEOUT_MS = 250;

    /** Time for which a response is awaited, so that a late grant is not lost. */
    private static final long RESPONSE_TIMEOUT_MS = 1_000;

    /** Time without requests to the primary after it did not respond. */
    private static final long PRIMARY_RETRY_INTERVAL_MS = 400;

    /** Maximum time without requests for a tenant whose bucket at the primary is empty. */
    private static final long MAX_EMPTY_BACKOFF_MS = 100;

    /** Units that may be unreported while the primary answers polls, in seconds of the share. */
    private static final double MAX_UNREPORTED_S = 0.25;

    private static final long NEVER_MS = Long.MAX_VALUE;

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
    private final Map<String, TenantQuotaState> tenants = new HashMap<>();

    /** Acquisitions that await the response of the primary, in the order of their requests. */
    private final Deque<QuotaAcquisition> undecided = new ArrayDeque<>();

    /** Number of balancers among which quotas are divided, 0 if it is not known. */
    private int balancerCount;

    /** Epoch of the primary that responded last, 0 if none has. */
    private long primaryEpoch;

    private long lastPollResponseMs;
    private long primaryUnavailableSinceMs = NEVER_MS;
    private long nextPrimaryRequestAtMs;
    private long clockMs;

    /** Creates a client; the seed determines the random initial debts of fallback buckets. */
    TenantQuotaClient(QuotaAllocator allocator, long seed) {
        this.allocator = allocator;
        this.random = new SplittableRandom(seed);
    }

    /** Applies the tenants of a new configuration; tenants that remain keep their state. */
    void applyConfiguration(Configuration configuration) {
        Map<String, TenantQuotaState> previousStates = new HashMap<>(tenants);
        tenants.clear();
        for (Tenant tenant : configuration.tenants()) {
            TenantQuotaState state = previousStates.get(tenant.name());
            if (state == null) {
                state = new TenantQuotaState(random.nextDouble());
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
     * Records that the primary of an epoch responded to a poll. A new primary is asked at once. If
     * this balancer had been out of contact, or the primary is new, units that were used before are
     * not reported: they were reserved, or belong to the time of an earlier primary.
     */
    void recordPollResponse(long epoch, long nowMs) {
        boolean isNewPrimary = epoch > primaryEpoch;
        if (isNewPrimary) {
            primaryEpoch = epoch;
            nextPrimaryRequestAtMs = nowMs;
        }
        if (isNewPrimary || isReservedByPrimary(nowMs)) {
            tenants.values().forEach(state -> state.unreported.clear());
        }
        lastPollResponseMs = nowMs;
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
        TenantQuotaState state = tenants.get(tenant.name());
        if (state == null || !isLimited(tenant)) {
            callback.accept(0);
        } else if (state.grantedUnits >= costUnits) {
            useGrantedUnits(state, costUnits);
            callback.accept(0);
        } else if (nowMs < state.bucketEmptyUntilMs) {
            state.usage.addRefusedByPrimary(costUnits);
            callback.accept(state.bucketEmptyUntilMs - nowMs);
        } else if (nowMs < nextPrimaryRequestAtMs) {
            FallbackBucket.Outcome outcome = acquireFromFallback(state, costUnits, nowMs);
            callback.accept(outcome.isAdmitted() ? 0 : nextPrimaryRequestAtMs - nowMs);
        } else {
            requestFromPrimary(new QuotaAcquisition(state, costUnits, nowMs, callback));
        }
    }

    private static boolean isLimited(Tenant tenant) {
        return tenant.ratePerSecond() > 0;
    }

    private void requestFromPrimary(QuotaAcquisition acquisition) {
        undecided.add(acquisition);
        allocator.request(
                acquisition.createRequest(),
                RESPONSE_TIMEOUT_MS,
                response -> responseReceived(acquisition, response));
    }

    /**
     * Advances the clock and decides requests whose responses are overdue. To be called before
     * {@link #acquire} and periodically in between.
     */
    void advanceClock(long nowMs) {
        clockMs = Math.max(clockMs, nowMs);
        while (!undecided.isEmpty()
                && clockMs - undecided.peek().requestedAtMs() >= DECISION_TIMEOUT_MS) {
            decideWithoutPrimary(undecided.poll());
        }
    }

    private void responseReceived(QuotaAcquisition acquisition, Message response) {
        boolean isUndecided = undecided.remove(acquisition);
        if (!(response instanceof QuotaResponse grant) || !grant.fromPrimary) {
            acquisition.restoreReport();
            if (isUndecided) {
                decideWithoutPrimary(acquisition);
            }
            return;
        }
        primaryEpoch = Math.max(primaryEpoch, epochOf(grant));
        if (isUndecided) {
            decide(acquisition, grant);
        } else {
            settleLateGrant(acquisition, grant);
        }
    }

    private static long epochOf(QuotaResponse grant) {
        return grant.epoch == null ? 0 : grant.epoch;
    }

    private void decide(QuotaAcquisition acquisition, QuotaResponse grant) {
        TenantQuotaState state = acquisition.state();
        primaryUnavailableSinceMs = NEVER_MS;
        nextPrimaryRequestAtMs = clockMs;
        acquisition.releaseHeldUnits();
        state.grantedUnits += grant.grantedUnits;
        if (state.grantedUnits >= acquisition.costUnits()) {
            useGrantedUnits(state, acquisition.costUnits());
            acquisition.decide(0);
            return;
        }
        state.usage.addRefusedByPrimary(acquisition.costUnits());
        state.bucketEmptyUntilMs = clockMs + Math.min(MAX_EMPTY_BACKOFF_MS, grant.waitMs);
        acquisition.decide(Math.max(1, grant.waitMs));
    }

    private static void useGrantedUnits(TenantQuotaState state, double units) {
        state.grantedUnits -= units;
        state.usage.addGranted(units);
    }

    private void decideWithoutPrimary(QuotaAcquisition acquisition) {
        acquisition.releaseHeldUnits();
        primaryUnavailableSinceMs =
                Math.min(primaryUnavailableSinceMs, acquisition.requestedAtMs());
        nextPrimaryRequestAtMs = clockMs + PRIMARY_RETRY_INTERVAL_MS;
        FallbackBucket.Outcome outcome =
                acquireFromFallback(acquisition.state(), acquisition.costUnits(), clockMs);
        acquisition.decide(outcome, PRIMARY_RETRY_INTERVAL_MS);
    }

    private FallbackBucket.Outcome acquireFromFallback(
            TenantQuotaState state, double costUnits, long nowMs) {
        if (balancerCount == 0) {
            state.usage.addRefusedWithoutShare(costUnits);
            return FallbackBucket.Outcome.REJECTED;
        }
        if (isAwaitingReport(state)) {
            state.usage.addRefusedByFallback(costUnits);
            return FallbackBucket.Outcome.REJECTED;
        }
        FallbackBucket.Outcome outcome =
                state.fallback.acquire(
                        costUnits, shareRatePerS(state.tenant), primaryUnavailableSinceMs, nowMs);
        if (!isReservedByPrimary(nowMs)) {
            state.unreported.add(outcome.consumedUnits(), primaryEpoch);
        }
        if (outcome.isAdmitted()) {
            state.usage.addFallback(costUnits, outcome.consumedUnits());
        } else {
            state.usage.addRefusedByFallback(costUnits);
        }
        return outcome;
    }

    /**
     * Returns whether the primary, which answers polls and so grants units to others, has yet to
     * learn of too many units that were used here.
     */
    private boolean isAwaitingReport(TenantQuotaState state) {
        boolean isPrimaryAlive = lastPollResponseMs > primaryUnavailableSinceMs;
        return isPrimaryAlive
                && state.unreported.units() > MAX_UNREPORTED_S * shareRatePerS(state.tenant);
    }

    private boolean isReservedByPrimary(long nowMs) {
        return nowMs - lastPollResponseMs > QuotaFallbackPolicy.RESERVED_AFTER_MS;
    }

    /**
     * Settles a grant that came after the request was decided without it. It pays for the request
     * if that was admitted; the rest goes back to the primary.
     */
    private void settleLateGrant(QuotaAcquisition acquisition, QuotaResponse grant) {
        if (grant.grantedUnits <= 0) {
            return;
        }
        TenantQuotaState state = acquisition.state();
        FallbackBucket.Outcome outcome = acquisition.fallbackOutcome();
        state.usage.addLateGrant(grant.grantedUnits);
        state.unreported.remove(outcome.consumedUnits(), epochOf(grant));
        double usedUnits = outcome.isAdmitted() ? acquisition.costUnits() : 0;
        double unusedUnits = grant.grantedUnits - usedUnits;
        if (unusedUnits > 0) {
            sendRefund(state.tenant, unusedUnits);
        } else {
            state.grantedUnits = Math.max(0, state.grantedUnits + unusedUnits);
        }
    }

    /**
     * Refunds the units of a request that did not run. Units go back to the primary, so that other
     * balancers can use them, or to the fallback bucket while the primary is unavailable.
     */
    void refund(Tenant tenant, double costUnits) {
        TenantQuotaState state = tenants.get(tenant.name());
        if (state == null || !isLimited(tenant)) {
            return;
        }
        if (primaryUnavailableSinceMs == NEVER_MS) {
            sendRefund(tenant, costUnits);
        } else if (balancerCount > 0) {
            state.fallback.refund(costUnits, shareRatePerS(tenant));
        }
    }

    /** This balancer's share of a quota. */
    private double shareRatePerS(Tenant tenant) {
        return tenant.ratePerSecond() / balancerCount;
    }

    private void sendRefund(Tenant tenant, double units) {
        QuotaRequest refund = QuotaRequest.of(tenant.name(), -units);
        allocator.request(refund, RESPONSE_TIMEOUT_MS, response -> {});
    }

    /** What each tenant used at this balancer. */
    Map<String, QuotaUsage> usage() {
        Map<String, QuotaUsage> usageByTenant = new TreeMap<>();
        tenants.forEach((name, state) -> usageByTenant.put(name, state.usage));
        return usageByTenant;
    }
}
