package myrtleladder.tally;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.MessageCodec;
import myrtleladder.protocol.TallySyncRequest;
import myrtleladder.replication.ManualScheduler;
import org.junit.jupiter.api.Test;

/**
 * The tallies of nodes that call each other directly, on one clock, with disks that sync
 * immediately.
 */
class TalliesTest {
    private static final long ROUND_TRIP_MS = 2;

    private final ManualScheduler clock = new ManualScheduler();
    private final Map<String, Tallies> nodeByAddress = new LinkedHashMap<>();
    private long messageCount;
    private long byteCount;

    private Tallies start(int number, List<String> seeds) {
        String address = "n" + number + ":1";
        String zone = "z" + number % 4;
        TallyOptions options =
                new TallyOptions(address, zone, "process-" + number, 2, 1, true, seeds);
        Tallies node =
                new Tallies(
                        options, clock, this::call, (batch, done) -> done.accept(true), List.of());
        nodeByAddress.put(address, node);
        node.start(List::of);
        return node;
    }

    private void call(String to, Message request, long timeoutMs, Consumer<Message> answer) {
        messageCount++;
        byteCount += MessageCodec.encode(request).length;
        Tallies node = nodeByAddress.get(to);
        if (node == null) {
            clock.schedule(timeoutMs, () -> answer.accept(null));
            return;
        }
        node.receive(
                (TallySyncRequest) request,
                response -> {
                    byteCount += MessageCodec.encode(response).length;
                    clock.schedule(ROUND_TRIP_MS, () -> answer.accept(response));
                });
    }

    private AdditionResult add(Tallies node, String id) {
        List<AdditionResult> results = new ArrayList<>();
        node.add("t", id, 1, results::add);
        clock.run(1_000);
        return results.get(0);
    }

    @Test
    void idleNodesExchangeFewAndSmallMessages() {
        List<String> all = List.of("n0:1", "n1:1", "n2:1", "n3:1", "n4:1", "n5:1", "n6:1", "n7:1");
        for (int i = 0; i < all.size(); i++) {
            start(i, all);
        }
        clock.run(1_000);
        messageCount = 0;
        byteCount = 0;
        clock.run(10_000);
        assertTrue(messageCount <= 8 * 10 * 25, messageCount + " requests");
        assertTrue(byteCount <= messageCount * 100, byteCount + " bytes");
    }

    @Test
    void syncTrafficIsProportionalToTheDifferenceAndNotToTheState() {
        Tallies one = start(0, List.of());
        for (int i = 0; i < 20_000; i++) {
            one.add("t", "id-" + i, 1, result -> {});
        }
        Tallies other = start(1, List.of("n0:1"));
        clock.run(5_000);
        assertEquals(20_000, other.total("t").orElseThrow());
        assertTrue(byteCount < 1_500_000, byteCount + " bytes");
        byteCount = 0;
        assertEquals(AdditionResult.ACKNOWLEDGED, add(one, "new"));
        assertEquals(20_001, other.total("t").orElseThrow());
        assertTrue(byteCount < 3_000, byteCount + " bytes");
    }

    @Test
    void fullNodeRefusesNewIdsAndStillAcknowledgesKnownOnes() {
        Tallies node = start(0, List.of());
        for (int i = 0; i < 200_000; i++) {
            node.add("t", "id-" + i, 1, result -> {});
        }
        assertEquals(AdditionResult.REFUSED, add(node, "new"));
        assertEquals(AdditionResult.ACKNOWLEDGED, add(node, "id-1"));
        assertEquals(200_000, node.total("t").orElseThrow());
    }

    @Test
    void suspendedProcessDoesNotMarkPeersUnreachable() {
        Tallies node = start(0, List.of("n1:1"));
        start(1, List.of("n0:1"));
        clock.run(1_000);
        for (int i = 0; i < 20; i++) {
            clock.freeze(2_000 + i);
            clock.run(400);
        }
        assertEquals("REACHABLE", node.metrics().peers().get("n1:1").reachability());
        assertEquals(1, node.metrics().reachabilityChanges());
    }
}
