package myrtleladder.loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Balancers report their load in flight to peers. */
class PeerLoadExchangeTest {
    private static final long SECOND_US = SimulatedHost.SECOND_US;
    private static final long MILLISECOND_US = SimulatedHost.MILLISECOND_US;
    private final SettingsBuilder settings = new SettingsBuilder();

    @Test
    void eachSendAndEndIsReportedOnlyToPeersSharingTheUpstream() {
        settings.groupSize(120);
        settings.peerMessages(true);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(40);
        host.serve(0, 20 * MILLISECOND_US, upstream -> 0.5);
        long messages =
                host.actions.stream().filter(action -> action.contains(" send-to-peer ")).count();
        assertTrue(messages > 8 && messages < 40 && messages % 2 == 0, messages + " messages");
        settings.peerMessages(false);
        SimulatedHost withoutPeers = SimulatedHost.of(settings).listUpstreams(40);
        withoutPeers.serve(0, 20 * MILLISECOND_US, upstream -> 0.5);
        assertTrue(withoutPeers.peerMessages.isEmpty());
    }

    @Test
    void loadReportedByPeerCountsUntilItExpires() {
        settings.groupSize(3);
        settings.peerMessages(true);
        SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
        String first = host.request(0, 2 * SECOND_US);
        String busy = host.lastUpstream(first);
        byte[] message = host.peerMessages.get(0);
        host.endAttempt(first, Outcome.OK, 20 * MILLISECOND_US, null);
        host.balancer.onPeerMessage(
                host.nowUs, 1, new byte[] {message[0], message[1], message[2], 40});
        host.sendsPerUpstream.clear();
        for (int i = 0; i < 20; i++) {
            host.serve(0, MILLISECOND_US, upstream -> 0.5);
        }
        assertEquals(0, host.sendsTo(busy), host.sendsPerUpstream.toString());
        host.advance(2 * SECOND_US);
        for (int i = 0; i < 30; i++) {
            host.serve(0, MILLISECOND_US, upstream -> 0.5);
        }
        assertTrue(host.sendsTo(busy) > 0, host.sendsPerUpstream.toString());
    }

    @Test
    void foreignAndMalformedMessagesChangeNothing() {
        settings.groupSize(3);
        settings.peerMessages(true);
        List<List<String>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            SimulatedHost host = SimulatedHost.of(settings).listUpstreams(3);
            for (int i = 0; i < 50; i++) {
                if (run == 1) {
                    host.balancer.onPeerMessage(host.nowUs, 1, new byte[] {1, 2, 3});
                    host.balancer.onPeerMessage(host.nowUs, -1, new byte[] {1, 2, 3, 40});
                    host.balancer.onPeerMessage(host.nowUs, 2, new byte[] {0, 0, 0, 40});
                    host.balancer.onPeerMessage(host.nowUs, 1, new byte[0]);
                }
                host.serve(0, 20 * MILLISECOND_US, upstream -> 0.5);
            }
            runs.add(host.actions);
        }
        assertEquals(runs.get(0), runs.get(1));
    }
}
