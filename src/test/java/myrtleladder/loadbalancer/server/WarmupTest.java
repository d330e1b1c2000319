package myrtleladder.loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import myrtleladder.loadbalancer.server.RawSockets.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The warm-up run. */
class WarmupTest extends LoadBalancerFixture {
    /**
     * In a small group, a balancer without warm-up lagged seconds behind its clients; in a large
     * group, a long warm-up made a balancer unavailable for seconds.
     */
    @ParameterizedTest
    @CsvSource({"1, 90, 200", "100, 10, 50"})
    void warmupServesRequestsAndCallsNoOtherProcess(int groupSize, int least, int most)
            throws Exception {
        configFile.groupSize(groupSize);
        Server upstream = server(SERVE);
        Server discovery = server(HANG);
        int served = Warmup.run(config(readyListJson(upstream), discovery));
        assertTrue(served >= least && served <= most, "served " + served);
        assertTrue(upstream.accepted.isEmpty());
        assertTrue(discovery.accepted.isEmpty());
    }

    /**
     * On a separate thread the loop of the warm-up run spun forever if only one thread can run at a
     * time. The inheritable value counts only threads created by the warm-up run, not those of
     * other tests.
     */
    @Test
    void warmupStartsNoThread() throws Exception {
        BalancerConfig config = config(readyListJson(server(SERVE)), server(HANG));
        List<String> makers = new CopyOnWriteArrayList<>();
        InheritableThreadLocal<Boolean> handedOn =
                new InheritableThreadLocal<>() {
                    @Override
                    protected Boolean childValue(Boolean parent) {
                        makers.add(Thread.currentThread().getName());
                        return parent;
                    }
                };
        handedOn.set(true);
        try {
            Warmup.run(config);
        } finally {
            handedOn.remove();
        }
        assertEquals(List.of(), makers);
    }
}
