package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.JsonCodec;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.QuotaResponse;
import org.junit.jupiter.api.Test;

/** Grants from tenant quotas that all balancers share. */
class QuotaAllocatorTest {
    private static Configuration configuration(int rate, int burst) {
        String text =
                "{\"generation\":1,\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"],"
                        + "\"unit\":\"tokens\","
                        + "\"rate_per_s\":"
                        + rate
                        + ",\"burst\":"
                        + burst
                        + "},{\"name\":\"free\",\"api_keys\":[\"f\"]}]}";
        return Configuration.parse(JsonCodec.parseObject(text.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void grantsOverTimeStayWithinRateBurstOverageAndSlack() {
        QuotaAllocator quotas = new QuotaAllocator(0.1, 190_000);
        quotas.configure(configuration(70_000, 112_000), true, 0);
        double granted = 0;
        for (long now = 0; now < 8_000; now += 10) {
            QuotaResponse grant = quotas.grant(QuotaRequest.of("t", 17_000), now);
            granted += grant.grantedUnits;
        }
        double allowed = (70_000 * 8 + 112_000) * 1.1 + 190_000;
        assertTrue(granted <= allowed, granted + " granted, allowed " + allowed);
        assertTrue(granted >= 70_000 * 8 + 112_000, "granted too little: " + granted);
    }

    @Test
    void largeRequestIsGrantedAndLeavesADebt() {
        QuotaAllocator quotas = new QuotaAllocator(0, 0);
        quotas.configure(configuration(1_000, 1_000), true, 0);
        assertEquals(5_000, quotas.grant(QuotaRequest.of("t", 5_000), 0).grantedUnits, 1_000);
        QuotaResponse empty = quotas.grant(QuotaRequest.of("t", 1), 100);
        assertEquals(0, empty.grantedUnits);
        assertTrue(empty.waitMs > 3_000, "waiting time " + empty.waitMs);
        assertEquals(1, quotas.grant(QuotaRequest.of("t", 1), 100 + empty.waitMs + 1).grantedUnits);
    }

    @Test
    void changedQuotaKeepsItsLevelAndNewPrimaryStartsLow() {
        QuotaAllocator quotas = new QuotaAllocator(0, 0);
        quotas.configure(configuration(1_000, 1_000), true, 0);
        quotas.grant(QuotaRequest.of("t", 3_000), 0);
        quotas.configure(configuration(1_000, 9_000), false, 0);
        assertEquals(0, quotas.grant(QuotaRequest.of("t", 1), 0).grantedUnits);
        quotas.clear();
        quotas.configure(configuration(1_000, 1_000), false, 0);
        quotas.grant(QuotaRequest.of("t", 400), 0);
        assertEquals(0, quotas.grant(QuotaRequest.of("t", 1), 0).grantedUnits);
    }

    @Test
    void advanceGrantsToAllBalancersStayWithinAQuarterOfTheSlack() {
        QuotaAllocator quotas = new QuotaAllocator(0.1, 190_000);
        quotas.setBalancerCount(56);
        quotas.configure(configuration(446_000, 446_000), true, 0);
        double advance = 0;
        for (int balancer = 0; balancer < 56; balancer++) {
            advance += quotas.grant(QuotaRequest.of("t", 1_000), 0).grantedUnits - 1_000;
        }
        assertTrue(advance <= 0.25 * 190_000 + 1, "advance " + advance);
        assertTrue(advance > 0, "no balancer got an advance");
    }

    @Test
    void returnedUnitsAreGrantedAgain() {
        QuotaAllocator quotas = new QuotaAllocator(0, 0);
        quotas.configure(configuration(1_000, 1_000), true, 0);
        quotas.grant(QuotaRequest.of("t", 1_000), 0);
        assertEquals(0, quotas.grant(QuotaRequest.of("t", 400), 0).grantedUnits);
        quotas.grant(QuotaRequest.of("t", -700), 0);
        assertEquals(400, quotas.grant(QuotaRequest.of("t", 400), 0).grantedUnits);
    }

    @Test
    void tenantWithoutRateIsNotLimited() {
        QuotaAllocator quotas = new QuotaAllocator(0, 0);
        quotas.configure(configuration(1, 1), true, 0);
        assertEquals(1e9, quotas.grant(QuotaRequest.of("free", 1e9), 0).grantedUnits);
    }

    private static QuotaRequest reporting(double fallbackUnits, long epoch) {
        QuotaRequest request = QuotaRequest.of("t", 1);
        request.fallbackUnits = fallbackUnits;
        request.fallbackEpoch = epoch;
        return request;
    }

    @Test
    void unitsUsedWithoutThisPrimaryAreConsumedAndThoseOfAnEarlierOneAreNot() {
        QuotaAllocator quotas = new QuotaAllocator(0, 0);
        quotas.configure(configuration(1_000, 1_000), true, 0);
        quotas.consumeReported(reporting(5_000, 6), 7);
        assertEquals(1, quotas.grant(QuotaRequest.of("t", 1), 0).grantedUnits);
        quotas.consumeReported(reporting(5_000, 7), 7);
        assertEquals(0, quotas.grant(QuotaRequest.of("t", 1), 0).grantedUnits);
    }

    @Test
    void reservedShareIsNotGranted() {
        QuotaAllocator quotas = new QuotaAllocator(0, 0);
        quotas.configure(configuration(1_000, 1_000), true, 0);
        quotas.grant(QuotaRequest.of("t", 1_000), 0);
        quotas.setReservedShare(0.4, true, 0);
        assertEquals(600, quotas.grant(QuotaRequest.of("t", 600), 1_000).grantedUnits);
        assertEquals(0, quotas.grant(QuotaRequest.of("t", 1), 1_000).grantedUnits);
        quotas.setReservedShare(0, true, 1_000);
        assertEquals(1, quotas.grant(QuotaRequest.of("t", 1), 1_001).grantedUnits);
    }

    @Test
    void unitsUsedBeforeABalancerCountsAsOutOfContactAreConsumed() {
        QuotaAllocator quotas = new QuotaAllocator(0, 0);
        quotas.configure(configuration(1_000, 1_000), true, 0);
        quotas.setReservedShare(0.4, false, 0);
        assertEquals(600, quotas.grant(QuotaRequest.of("t", 600), 0).grantedUnits);
        assertEquals(0, quotas.grant(QuotaRequest.of("t", 1), 0).grantedUnits);
    }
}
