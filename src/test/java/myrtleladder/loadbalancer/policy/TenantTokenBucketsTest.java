package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests beyond a tenant's rate limit get a lower priority. */
class TenantTokenBucketsTest {
    private static final long SECOND_US = SimulatedHost.SECOND_US;
    private final SettingsBuilder settings = new SettingsBuilder();

    @Test
    void requestBeyondTenantRateLimitIsSentLater() {
        for (double rateLimitPerSecond : new double[] {0, 1}) {
            settings.tenants(List.of(new Tenant(rateLimitPerSecond, 1)));
            SimulatedHost host = SimulatedHost.of(settings);
            String first = host.request(0, 2 * SECOND_US);
            String second = host.request(0, 2 * SECOND_US);
            host.listUpstreams(1);
            int firstIndex = host.actions.indexOf(host.nowUs + " send " + first + " u0");
            int secondIndex = host.actions.indexOf(host.nowUs + " send " + second + " u0");
            assertEquals(rateLimitPerSecond > 0, firstIndex < secondIndex, host.actions.toString());
        }
    }
}
