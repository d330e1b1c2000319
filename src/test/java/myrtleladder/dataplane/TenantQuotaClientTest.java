package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.Tenant;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.QuotaResponse;
import org.junit.jupiter.api.Test;

/** Quotas at balancers, with a scripted primary. */
class TenantQuotaClientTest {
    private static final int RATE_PER_S = 446_000;
    private static final double SLACK_UNITS = 190_000;
    private static final double GRANTED_AHEAD = 800;
    private static final int BALANCERS = 56;
    private static final double REQUEST_COST = 17_000;

    private final Configuration configuration =
            DataPlaneContext.configuration(
                    "{'generation':1,'tenants':[{'name':'t','api_keys':['k'],'unit':'tokens',"
                            + "'rate_per_s':"
                            + RATE_PER_S
                            + ",'burst':"
                            + RATE_PER_S
                            + "}]}");
    private final Tenant tenant = configuration.tenantByApiKey("k");
    private final List<QuotaRequest> requests = new ArrayList<>();
    private double granted;

    private TenantQuotaClient quotas(TenantQuotaClient.QuotaAllocator allocator, long seed) {
        TenantQuotaClient quotas = new TenantQuotaClient(allocator, seed);
        quotas.applyConfiguration(configuration);
        quotas.setBalancers(BALANCERS);
        return quotas;
    }

    private void grantAheadOfUse(QuotaRequest request, long timeoutMs, Consumer<Message> callback) {
        requests.add(request);
        double units = request.units < 0 ? 0 : request.units + GRANTED_AHEAD;
        granted += units;
        callback.accept(QuotaResponse.of(true, units, 0));
    }

    @Test
    void balancerKeepsNoMoreThanWasGrantedAhead() {
        TenantQuotaClient quotas = quotas(this::grantAheadOfUse, 1);
        SplittableRandom costs = new SplittableRandom(1);
        double used = 0;
        for (int i = 0; i < 1_000; i++) {
            double cost = 1 + costs.nextInt(20_000);
            quotas.acquire(tenant, cost, i, waitMs -> assertEquals(0, waitMs));
            used += cost;
            assertTrue(granted - used <= GRANTED_AHEAD + 1e-3, "keeps " + (granted - used));
        }
    }

    @Test
    void refundGoesBackToThePrimary() {
        TenantQuotaClient quotas = quotas(this::grantAheadOfUse, 1);
        quotas.acquire(tenant, REQUEST_COST, 0, waitMs -> {});
        quotas.refund(tenant, REQUEST_COST);
        assertEquals(-REQUEST_COST, requests.get(1).units);
        quotas.acquire(tenant, REQUEST_COST, 0, waitMs -> {});
        assertEquals(REQUEST_COST - GRANTED_AHEAD, requests.get(2).units);
    }

    @Test
    void balancersWithoutAPrimaryStayWithinTheQuotaTogether() {
        List<TenantQuotaClient> all = new ArrayList<>();
        for (int i = 0; i < BALANCERS; i++) {
            all.add(quotas((request, timeoutMs, callback) -> callback.accept(null), i));
        }
        double[] sent = {0};
        long durationMs = 4_000;
        for (long nowMs = 1; nowMs <= durationMs; nowMs += 50) {
            for (TenantQuotaClient quotas : all) {
                quotas.advanceClock(nowMs);
                quotas.acquire(
                        tenant,
                        REQUEST_COST,
                        nowMs,
                        waitMs -> sent[0] += waitMs == 0 ? REQUEST_COST : 0);
            }
        }
        double expected = 0.85 * RATE_PER_S * durationMs / 1_000;
        assertTrue(sent[0] <= expected + SLACK_UNITS / 2, sent[0] + " of " + expected);
        assertTrue(sent[0] >= 0.7 * expected, "too little: " + sent[0] + " of " + expected);
    }
}
