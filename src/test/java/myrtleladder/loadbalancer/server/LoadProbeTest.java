package myrtleladder.loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import myrtleladder.loadbalancer.server.RawSockets.Client;
import myrtleladder.loadbalancer.server.RawSockets.Script;
import myrtleladder.loadbalancer.server.RawSockets.Server;
import org.junit.jupiter.api.Test;

/** Load reports that upstreams send in response to probes. */
class LoadProbeTest extends LoadBalancerFixture {
    /**
     * The values have the names used in the settings. Guards against silently ignoring them under
     * other names.
     */
    @Test
    void reportedLoadChangesThePicks() throws Exception {
        configFile.reportSource("pull");
        Server idler = server(reporting("active=0,cpu=0.0,new=1"));
        Server busy = server(reporting("active=1,cpu=1.0"));
        start(idler, busy);
        Client client = client();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(RawSockets.TIMEOUT_S);
        for (int inARow = 0; inARow < 40; ) {
            assertTrue(System.nanoTime() < end, "the busy one is picked as before");
            String by = client.write(submit()).read().body();
            inARow = by.startsWith("active=0") ? inARow + 1 : 0;
        }
    }

    private static Script reporting(String load) {
        return (m, s) -> RawSockets.respond(s, "200 OK", "", load);
    }

    @Test
    void malformedReportIsIgnored() throws Exception {
        configFile.reportSource("pull");
        Server upstream = server(reporting("cpu=much"));
        start(upstream);
        for (int i = 0; i < 3; i++) {
            assertEquals("GET /load HTTP/1.1", RawSockets.next(upstream.requests).start());
        }
        assertEquals(200, client().write(submit()).read().status());
    }
}
