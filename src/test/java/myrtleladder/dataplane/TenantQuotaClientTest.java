package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
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

/** Quota acquisition by balancers from a scripted primary and without one. */
class TenantQuotaClientTest {
    private static final int RATE_PER_S = 446_000;
    private static final double SLACK_UNITS = 190_000;
    private static final double EXTRA_GRANTED_UNITS = 800;
    private static final int BALANCERS = 56;
    private static final double REQUEST_UNITS = 17_000;
    private static final long EPOCH = 7;

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
    private double grantedUnits;

    private TenantQuotaClient client(TenantQuotaClient.QuotaAllocator allocator, long seed) {
        TenantQuotaClient client = new TenantQuotaClient(allocator, seed);
        client.applyConfiguration(configuration);
        client.setBalancerCount(BALANCERS, true);
        return client;
    }

    private void grantWithExtraUnits(
            QuotaRequest request, long timeoutMs, Consumer<Message> callback) {
        requests.add(request);
        double unitsToGrant = request.units < 0 ? 0 : request.units + EXTRA_GRANTED_UNITS;
        grantedUnits += unitsToGrant;
        callback.accept(QuotaResponse.of(true, unitsToGrant, 0));
    }

    @Test
    void unusedUnitsNeverExceedTheExtraGrant() {
        TenantQuotaClient client = client(this::grantWithExtraUnits, 1);
        SplittableRandom costs = new SplittableRandom(1);
        double usedUnits = 0;
        for (int i = 0; i < 1_000; i++) {
            double costUnits = 1 + costs.nextInt(20_000);
            client.acquire(tenant, costUnits, i, waitMs -> assertEquals(0, waitMs));
            usedUnits += costUnits;
            assertTrue(
                    grantedUnits - usedUnits <= EXTRA_GRANTED_UNITS + 1e-3,
                    "unused: " + (grantedUnits - usedUnits));
        }
    }

    @Test
    void refundIsSentToThePrimary() {
        TenantQuotaClient client = client(this::grantWithExtraUnits, 1);
        client.acquire(tenant, REQUEST_UNITS, 0, waitMs -> {});
        client.refund(tenant, REQUEST_UNITS);
        assertEquals(-REQUEST_UNITS, requests.get(1).units);
        client.acquire(tenant, REQUEST_UNITS, 0, waitMs -> {});
        assertEquals(REQUEST_UNITS - EXTRA_GRANTED_UNITS, requests.get(2).units);
    }

    @Test
    void balancersWithoutAPrimaryTogetherStayWithinTheQuota() {
        List<TenantQuotaClient> clients = new ArrayList<>();
        for (int i = 0; i < BALANCERS; i++) {
            clients.add(client((request, timeoutMs, callback) -> callback.accept(null), i));
        }
        double[] acquiredUnits = {0};
        long durationMs = 4_000;
        for (long nowMs = 1; nowMs <= durationMs; nowMs += 50) {
            for (TenantQuotaClient client : clients) {
                client.advanceClock(nowMs);
                client.acquire(
                        tenant,
                        REQUEST_UNITS,
                        nowMs,
                        waitMs -> acquiredUnits[0] += waitMs == 0 ? REQUEST_UNITS : 0);
            }
        }
        double expectedUnits = 0.85 * RATE_PER_S * durationMs / 1_000;
        assertTrue(
                acquiredUnits[0] <= expectedUnits + SLACK_UNITS / 2,
                acquiredUnits[0] + " of " + expectedUnits);
        assertTrue(
                acquiredUnits[0] >= 0.7 * expectedUnits,
                "too few units: " + acquiredUnits[0] + " of " + expectedUnits);
    }

    /** A primary whose responses the test sends itself. */
    private static final class SilentPrimary implements TenantQuotaClient.QuotaAllocator {
        final List<QuotaRequest> requests = new ArrayList<>();
        final List<Consumer<Message>> callbacks = new ArrayList<>();

        @Override
        public void request(QuotaRequest request, long timeoutMs, Consumer<Message> callback) {
            requests.add(request);
            callbacks.add(callback);
        }

        void grant(int index, double units) {
            QuotaResponse response = QuotaResponse.of(true, units, 0);
            response.epoch = EPOCH;
            callbacks.get(index).accept(response);
        }
    }

    /** Acquires units at a time and returns the decision when there is one. */
    private List<Long> acquire(TenantQuotaClient client, double units, long nowMs) {
        List<Long> waitsMs = new ArrayList<>();
        client.advanceClock(nowMs);
        client.acquire(tenant, units, nowMs, waitsMs::add);
        return waitsMs;
    }

    @Test
    void unitsUsedWithoutThePrimaryAreReportedUntilItResponds() {
        SilentPrimary primary = new SilentPrimary();
        TenantQuotaClient client = client(primary, 1);
        acquire(client, 10, 0);
        primary.grant(0, 10);
        client.recordPollResponse(EPOCH, 900);
        acquire(client, 10, 1_000);
        client.advanceClock(1_250);
        double usedUnits = 10;
        acquire(client, 10, 1_650);
        assertEquals(usedUnits, primary.requests.get(2).fallbackUnits, 1e-6);
        assertEquals(EPOCH, primary.requests.get(2).fallbackEpoch);
        primary.callbacks.get(2).accept(null);
        client.recordPollResponse(EPOCH, 1_700);
        acquire(client, 10, 2_050);
        assertEquals(2 * usedUnits, primary.requests.get(3).fallbackUnits, 1e-6);
        primary.grant(3, 10);
        acquire(client, 10, 2_100);
        assertNull(primary.requests.get(4).fallbackUnits);
    }

    @Test
    void lateGrantIsRefundedIfTheRequestWasRejectedMeanwhile() {
        SilentPrimary primary = new SilentPrimary();
        TenantQuotaClient client = client(primary, 1);
        List<Long> decision = acquire(client, 1e9, 0);
        client.advanceClock(250);
        assertTrue(decision.get(0) > 0);
        primary.grant(0, 1e9);
        assertEquals(-1e9, primary.requests.get(1).units);
    }

    @Test
    void lateGrantPaysForTheRequestThatWasAdmittedMeanwhile() {
        SilentPrimary primary = new SilentPrimary();
        TenantQuotaClient client = client(primary, 1);
        acquire(client, 10, 0);
        primary.grant(0, 10);
        client.recordPollResponse(EPOCH, 900);
        List<Long> decision = acquire(client, 10, 1_000);
        client.advanceClock(1_250);
        assertEquals(List.of(0L), decision);
        primary.grant(1, 10);
        acquire(client, 10, 1_650);
        assertEquals(3, primary.requests.size());
        assertNull(primary.requests.get(2).fallbackUnits);
    }

    @Test
    void newProcessUsesNoShareOfAFleetWhoseSizeItDoesNotKnow() {
        TenantQuotaClient client =
                new TenantQuotaClient((request, timeoutMs, callback) -> callback.accept(null), 1);
        client.applyConfiguration(configuration);
        client.setBalancerCount(1, false);
        acquire(client, 10, 0);
        assertTrue(acquire(client, 10, 900).get(0) > 0);
        client.setBalancerCount(BALANCERS, true);
        assertEquals(List.of(0L), acquire(client, 10, 1_800));
    }
}
