package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.Json;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.QuotaResponse;
import org.junit.jupiter.api.Test;

/** The quotas of all balancers together. */
class QuotaBankTest {
    private static Configuration configuration(int rate, int burst) {
        String text =
                "{\"generation\":1,\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"],"
                        + "\"unit\":\"tokens\","
                        + "\"rate_per_s\":"
                        + rate
                        + ",\"burst\":"
                        + burst
                        + "},{\"name\":\"free\",\"api_keys\":[\"f\"]}]}";
        return Configuration.read(Json.readObject(text.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void overAnyWindowNoMoreIsGrantedThanTheRuleAllows() {
        QuotaBank bank = new QuotaBank(0.1, 190_000);
        bank.use(configuration(70_000, 112_000), true, 0);
        double granted = 0;
        for (long now = 0; now < 8_000; now += 10) {
            QuotaResponse grant = bank.grant(QuotaRequest.of("t", 17_000), now);
            granted += grant.grantedUnits;
        }
        double allowed = (70_000 * 8 + 112_000) * 1.1 + 190_000;
        assertTrue(granted <= allowed, granted + " of " + allowed);
        assertTrue(granted >= 70_000 * 8 + 112_000, "too little: " + granted);
    }

    @Test
    void aLargeRequestIsNotPassedOverForSmallOnes() {
        QuotaBank bank = new QuotaBank(0, 0);
        bank.use(configuration(1_000, 1_000), true, 0);
        assertEquals(5_000, bank.grant(QuotaRequest.of("t", 5_000), 0).grantedUnits, 1_000);
        QuotaResponse empty = bank.grant(QuotaRequest.of("t", 1), 100);
        assertEquals(0, empty.grantedUnits);
        assertTrue(empty.waitMs > 3_000, "waits " + empty.waitMs);
        assertEquals(1, bank.grant(QuotaRequest.of("t", 1), 100 + empty.waitMs + 1).grantedUnits);
    }

    @Test
    void aChangedQuotaKeepsItsLevelAndAnotherPrimaryBeginsLow() {
        QuotaBank bank = new QuotaBank(0, 0);
        bank.use(configuration(1_000, 1_000), true, 0);
        bank.grant(QuotaRequest.of("t", 3_000), 0);
        bank.use(configuration(1_000, 9_000), false, 0);
        assertEquals(0, bank.grant(QuotaRequest.of("t", 1), 0).grantedUnits);
        bank.clear();
        bank.use(configuration(1_000, 1_000), false, 0);
        bank.grant(QuotaRequest.of("t", 400), 0);
        assertEquals(0, bank.grant(QuotaRequest.of("t", 1), 0).grantedUnits);
    }

    @Test
    void whatAllBalancersGetAheadFitsIntoThePartOfTheSlack() {
        QuotaBank bank = new QuotaBank(0.1, 190_000);
        bank.balancers(56);
        bank.use(configuration(446_000, 446_000), true, 0);
        double ahead = 0;
        for (int balancer = 0; balancer < 56; balancer++) {
            ahead += bank.grant(QuotaRequest.of("t", 1_000), 0).grantedUnits - 1_000;
        }
        assertTrue(ahead <= 0.25 * 190_000 + 1, "ahead " + ahead);
        assertTrue(ahead > 0, "nothing ahead");
    }

    @Test
    void unitsThatAreGivenBackCanBeGrantedAgain() {
        QuotaBank bank = new QuotaBank(0, 0);
        bank.use(configuration(1_000, 1_000), true, 0);
        bank.grant(QuotaRequest.of("t", 1_000), 0);
        assertEquals(0, bank.grant(QuotaRequest.of("t", 400), 0).grantedUnits);
        bank.grant(QuotaRequest.of("t", -700), 0);
        assertEquals(400, bank.grant(QuotaRequest.of("t", 400), 0).grantedUnits);
    }

    @Test
    void aTenantWithoutLimitIsAlwaysGranted() {
        QuotaBank bank = new QuotaBank(0, 0);
        bank.use(configuration(1, 1), true, 0);
        assertEquals(1e9, bank.grant(QuotaRequest.of("free", 1e9), 0).grantedUnits);
    }
}
