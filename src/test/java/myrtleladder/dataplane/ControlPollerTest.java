package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import myrtleladder.configuration.Compression;
import myrtleladder.heartbeat.HeartbeatAgent;
import myrtleladder.protocol.BalancerAddress;
import myrtleladder.protocol.DrainedZones;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PollRequest;
import myrtleladder.protocol.PollResponse;
import myrtleladder.replication.ManualScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Which control node a balancer polls, and which responses it applies. */
class ControlPollerTest {
    private final ManualScheduler clock = new ManualScheduler();
    private final List<String> polledNodes = new ArrayList<>();
    private final List<PollRequest> polls = new ArrayList<>();
    private Consumer<Message> pendingCallback;
    private final DataPlane dataPlane =
            new DataPlaneContext.Builder().withClock(clock).build().dataPlane;
    private ControlPoller poller;

    @BeforeEach
    void start() {
        HeartbeatAgent agent = new HeartbeatAgent(clock, (to, message, timeout, back) -> {}, "e");
        poller =
                new ControlPoller(
                        clock,
                        (node, message, timeoutMs, callback) -> {
                            polledNodes.add(node);
                            polls.add((PollRequest) message);
                            pendingCallback = callback;
                        },
                        dataPlane,
                        "e",
                        "e:1",
                        agent,
                        () -> List.of("a:1", "b:1", "c:1"));
        poller.start();
    }

    private static PollResponse response(long epoch, long generation) {
        PollResponse response = new PollResponse();
        response.fromPrimary = true;
        response.epoch = epoch;
        response.generation = generation;
        response.document =
                generation == 0
                        ? new byte[0]
                        : Compression.deflate(
                                ("{\"generation\":" + generation + "}")
                                        .getBytes(StandardCharsets.UTF_8));
        response.primaryAddress = "a:1";
        response.controlNodeAddresses = List.of("a:1", "b:1", "c:1");
        return response;
    }

    private String lastPolledNode() {
        return polledNodes.get(polledNodes.size() - 1);
    }

    @Test
    void pollerIsReadyOnceAConfigurationIsInForce() {
        assertFalse(poller.isReady());
        pendingCallback.accept(response(3, 0));
        assertFalse(poller.isReady());
        pendingCallback.accept(response(3, 7));
        assertTrue(poller.isReady());
        assertEquals(7, dataPlane.configuration().generation());
        assertEquals(7, polls.get(polls.size() - 1).generation);
    }

    @Test
    void lowerEpochsAndOlderGenerationsAreIgnored() {
        pendingCallback.accept(response(3, 7));
        pendingCallback.accept(response(2, 9));
        assertEquals(7, dataPlane.configuration().generation());
        clock.run(100);
        pendingCallback.accept(response(4, 5));
        assertEquals(7, dataPlane.configuration().generation());
    }

    @Test
    void unresponsiveNodeIsAvoidedButOneThatRefusesIsPolledAgain() {
        assertEquals("a:1", lastPolledNode());
        pendingCallback.accept(null);
        clock.run(60);
        assertEquals("b:1", lastPolledNode());
        clock.run(700);
        pendingCallback.accept(null);
        clock.run(60);
        assertEquals("c:1", lastPolledNode());
        pendingCallback.accept(null);
        clock.run(60);
        assertEquals("a:1", lastPolledNode());
        pendingCallback.accept(null);
        clock.run(60);
        assertEquals("c:1", lastPolledNode());
        clock.run(1_500);
        pendingCallback.accept(null);
        clock.run(60);
        assertTrue(List.of("a:1", "b:1").contains(lastPolledNode()));
    }

    private static PollResponse redirection(String primary, long epoch) {
        PollResponse response = new PollResponse();
        response.primaryAddress = primary;
        response.epoch = epoch;
        return response;
    }

    private void timeOut() {
        clock.run(750);
        pendingCallback.accept(null);
        clock.run(60);
    }

    @Test
    void avoidedNodeIsPolledOnceItIsNamedPrimaryOfALaterEpoch() {
        assertEquals("a:1", lastPolledNode());
        timeOut(); // its machine was about to start
        assertEquals("b:1", lastPolledNode());
        pendingCallback.accept(redirection("a:1", 4));
        clock.run(60);
        assertEquals("a:1", lastPolledNode());
    }

    @Test
    void avoidedPrimaryIsNotPolledWhenItIsNamedForTheKnownEpoch() {
        pendingCallback.accept(response(3, 7));
        assertEquals("a:1", lastPolledNode());
        timeOut();
        assertEquals("b:1", lastPolledNode());
        pendingCallback.accept(redirection("a:1", 3));
        clock.run(60);
        assertEquals("b:1", lastPolledNode());
        assertEquals(true, polls.get(polls.size() - 1).relayWanted);
        pendingCallback.accept(redirection("a:1", 3));
        clock.run(60);
        assertEquals("c:1", lastPolledNode());
        assertNull(polls.get(polls.size() - 1).relayWanted);
    }

    @Test
    void primaryOutOfReachIsPolledThroughAnotherNodeAndLaterDirectlyAgain() {
        pendingCallback.accept(response(3, 7));
        timeOut();
        pendingCallback.accept(redirection("a:1", 3));
        clock.run(60);
        pendingCallback.accept(response(3, 8));
        assertEquals(8, dataPlane.configuration().generation());
        assertEquals("b:1", lastPolledNode());
        assertEquals(true, polls.get(polls.size() - 1).relayWanted);
        clock.run(5_000);
        pendingCallback.accept(response(3, 8));
        assertEquals("a:1", lastPolledNode());
        assertNull(polls.get(polls.size() - 1).relayWanted);
    }

    @Test
    void deadPrimaryCostsAStartingBalancerTwoPollsAtMost() {
        timeOut();
        pendingCallback.accept(redirection("a:1", 4));
        clock.run(60);
        assertEquals("a:1", lastPolledNode());
        timeOut();
        pendingCallback.accept(redirection("a:1", 4));
        clock.run(60);
        assertTrue(List.of("b:1", "c:1").contains(lastPolledNode()));
    }

    @Test
    void drainedZonesAreAppliedAndKeptWhenAnEarlierPrimaryDoesNotKnowThem() {
        PollResponse draining = response(3, 7);
        draining.drainedZones = DrainedZones.of(List.of("z"));
        pendingCallback.accept(draining);
        assertEquals(List.of("z"), polls.get(polls.size() - 1).drainedZones.names);
        pendingCallback.accept(response(4, 7));
        assertEquals(List.of("z"), dataPlane.directory().drainedZones());
        PollResponse takenBack = response(4, 7);
        takenBack.drainedZones = DrainedZones.of(List.of());
        pendingCallback.accept(takenBack);
        assertEquals(List.of(), dataPlane.directory().drainedZones());
    }

    @Test
    void backupRedirectsToThePrimary() {
        PollResponse other = new PollResponse();
        other.primaryAddress = "c:1";
        pendingCallback.accept(other);
        clock.run(60);
        assertEquals("c:1", lastPolledNode());
    }

    @Test
    void listOfAPrimaryThatHasNotHeardAllBalancersGivesNoShareOfColdUpstreams() {
        PollResponse response = response(3, 0);
        response.balancerList = List.of(BalancerAddress.of("e", "e:1"));
        pendingCallback.accept(response);
        assertEquals(0, dataPlane.warmup().ownership().balancerCount());
        response.authoritative = true;
        pendingCallback.accept(response);
        assertEquals(1, dataPlane.warmup().ownership().balancerCount());
    }
}
