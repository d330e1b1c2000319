package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Balancers report their load in flight to peers. */
class PeerLoadExchangeTest {
    private static final long SECOND = SimulatedHost.SECOND;
    private static final long MILLI = SimulatedHost.MILLI;
    private final SettingsBuilder settings = new SettingsBuilder();

    @Test
    void eachSendAndEndIsReportedToPeersSharingTheUpstreamAndNobodyElse() {
        settings.groupSize(120);
        settings.peers(true);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(40);
        host.serve(0, 20 * MILLI, upstream -> 0.5);
        long told = host.actions.stream().filter(d -> d.contains(" send-to-peer ")).count();
        assertTrue(told > 8 && told < 40 && told % 2 == 0, told + " messages");
        settings.peers(false);
        SimulatedHost silent = SimulatedHost.of(settings).listUpstreams(40);
        silent.serve(0, 20 * MILLI, upstream -> 0.5);
        assertTrue(silent.peerMessages.isEmpty());
    }

    @Test
    void inFlightOfOthersCountsLikeOwnUntilItIsOld() {
        settings.groupSize(3);
        settings.peers(true);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        String first = host.request(0, 2 * SECOND);
        String busy = host.lastUpstream(first);
        byte[] news = host.peerMessages.get(0);
        host.endAttempt(first, Outcome.OK, 20 * MILLI, null);
        host.balancer.peerMessage(host.nowUs, 1, new byte[] {news[0], news[1], news[2], 40});
        host.sendsPerUpstream.clear();
        for (int i = 0; i < 20; i++) {
            host.serve(0, MILLI, upstream -> 0.5);
        }
        assertEquals(0, host.sendsTo(busy), host.sendsPerUpstream.toString());
        host.advance(2 * SECOND);
        for (int i = 0; i < 30; i++) {
            host.serve(0, MILLI, upstream -> 0.5);
        }
        assertTrue(host.sendsTo(busy) > 0, host.sendsPerUpstream.toString());
    }

    @Test
    void foreignAndMalformedMessagesChangeNothing() {
        settings.groupSize(3);
        settings.peers(true);
        List<List<String>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
            for (int i = 0; i < 50; i++) {
                if (run == 1) {
                    host.balancer.peerMessage(host.nowUs, 1, new byte[] {1, 2, 3});
                    host.balancer.peerMessage(host.nowUs, -1, new byte[] {1, 2, 3, 40});
                    host.balancer.peerMessage(host.nowUs, 2, new byte[] {0, 0, 0, 40});
                    host.balancer.peerMessage(host.nowUs, 1, new byte[0]);
                }
                host.serve(0, 20 * MILLI, upstream -> 0.5);
            }
            runs.add(host.actions);
        }
        assertEquals(runs.get(0), runs.get(1));
    }
}
