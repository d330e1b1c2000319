package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests beyond a tenant's rate limit get a lower priority. */
class TenantSharesTest {
    private static final long SECOND = SimulatedHost.SECOND;
    private final SettingsBuilder settings = new SettingsBuilder();

    @Test
    void requestBeyondTenantsShareLosesItsPlaceInQueue() {
        for (double allowance : new double[] {0, 1}) {
            settings.tenants(List.of(new Tenant(allowance, 1)));
            SimulatedHost host = SimulatedHost.of(settings);
            String first = host.request(0, 2 * SECOND);
            String second = host.request(0, 2 * SECOND);
            host.listUpstreams(1);
            int sentFirst = host.actions.indexOf(host.nowUs + " send " + first + " u0");
            int sentSecond = host.actions.indexOf(host.nowUs + " send " + second + " u0");
            assertEquals(allowance > 0, sentFirst < sentSecond, host.actions.toString());
        }
    }
}
