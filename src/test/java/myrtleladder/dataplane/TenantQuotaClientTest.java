package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.Json;
import myrtleladder.configuration.Tenant;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.QuotaResponse;
import org.junit.jupiter.api.Test;

/** Quotas at balancers, with a scripted primary. */
class TenantQuotaClientTest {
    private static final int RATE = 446_000;
    private static final double SLACK = 190_000;
    private static final double AHEAD = 800;
    private static final int BALANCERS = 56;
    private static final double COST = 17_000;

    private final Configuration configuration =
            Configuration.read(
                    Json.readObject(
                            ("{\"generation\":1,\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"],"
                                            + "\"unit\":\"tokens\",\"rate_per_s\":"
                                            + RATE
                                            + ",\"burst\":"
                                            + RATE
                                            + "}]}")
                                    .getBytes(StandardCharsets.UTF_8)));
    private final Tenant tenant = configuration.tenant("k");
    private final List<QuotaRequest> asked = new ArrayList<>();
    private double granted;

    private TenantQuotaClient quotas(TenantQuotaClient.QuotaAllocator bank, long seed) {
        TenantQuotaClient quotas = new TenantQuotaClient(bank, seed);
        quotas.use(configuration, 0);
        quotas.balancers(BALANCERS);
        return quotas;
    }

    private void grantAhead(QuotaRequest ask, long timeout, Consumer<Message> answer) {
        asked.add(ask);
        double units = ask.units < 0 ? 0 : ask.units + AHEAD;
        granted += units;
        answer.accept(QuotaResponse.of(true, units, 0));
    }

    @Test
    void aBalancerKeepsNoMoreThanWasGrantedAhead() {
        TenantQuotaClient quotas = quotas(this::grantAhead, 1);
        SplittableRandom costs = new SplittableRandom(1);
        double used = 0;
        for (int i = 0; i < 1_000; i++) {
            double cost = 1 + costs.nextInt(20_000);
            quotas.admit(tenant, cost, i, wait -> assertEquals(0, wait));
            used += cost;
            assertTrue(granted - used <= AHEAD + 1e-3, "keeps " + (granted - used));
        }
    }

    @Test
    void whatDidNotRunGoesBackToThePrimary() {
        TenantQuotaClient quotas = quotas(this::grantAhead, 1);
        quotas.admit(tenant, COST, 0, wait -> {});
        quotas.refund(tenant, COST);
        assertEquals(-COST, asked.get(1).units);
        quotas.admit(tenant, COST, 0, wait -> {});
        assertEquals(COST - AHEAD, asked.get(2).units);
    }

    @Test
    void balancersThatLoseThePrimaryTogetherKeepWithinTheQuota() {
        List<TenantQuotaClient> all = new ArrayList<>();
        for (int i = 0; i < BALANCERS; i++) {
            all.add(quotas((ask, timeout, answer) -> answer.accept(null), i));
        }
        double[] sent = {0};
        long span = 4_000;
        for (long now = 1; now <= span; now += 50) {
            for (TenantQuotaClient quotas : all) {
                quotas.time(now);
                quotas.admit(tenant, COST, now, wait -> sent[0] += wait == 0 ? COST : 0);
            }
        }
        double part = 0.85 * RATE * span / 1_000;
        assertTrue(sent[0] <= part + SLACK / 2, sent[0] + " of " + part);
        assertTrue(sent[0] >= 0.7 * part, "too little: " + sent[0] + " of " + part);
    }
}
