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

/** Selection of the control node to poll, and of the responses to apply. */
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
        HeartbeatAgent agent =
                new HeartbeatAgent(clock, (to, message, timeout, callback) -> {}, "e");
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
    void pollerIsReadyOnceAConfigurationIsApplied() {
        assertFalse(poller.isReady());
        pendingCallback.accept(response(3, 0));
        assertFalse(poller.isReady());
        pendingCallback.accept(response(3, 7));
        assertTrue(poller.isReady());
        assertEquals(7, dataPlane.configuration().generation());
        assertEquals(7, polls.get(polls.size() - 1).generation);
    }

    /** Guards against a response that cannot be applied and after which no poll follows. */
    @Test
    void pollingGoesOnAfterADocumentThatCannotBeRead() {
        pendingCallback.accept(response(3, 7));
        PollResponse unreadable = response(3, 9);
        unreadable.document =
                Compression.deflate(
                        "{\"generation\":9,\"a\":\"\\".getBytes(StandardCharsets.UTF_8));
        unreadable.balancerCount = 5;
        int pollsBefore = polls.size();
        pendingCallback.accept(unreadable);
        clock.run(1_000);
        assertEquals(pollsBefore + 1, polls.size());
        PollRequest next = polls.get(polls.size() - 1);
        assertEquals(7, next.generation);
        assertEquals(5, next.balancerCount);
        assertEquals(7, dataPlane.configuration().generation());
        pendingCallback.accept(response(3, 11));
        assertEquals(11, dataPlane.configuration().generation());
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
    void unresponsiveNodeIsAvoidedButOneThatRefusesConnectionsIsPolledAgain() {
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

    /** Lets a poll time out after 750 ms, and the next one be sent after the backoff of 50 ms. */
    private void timeOutPoll() {
        clock.run(750);
        pendingCallback.accept(null);
        clock.run(60);
    }

    @Test
    void unresponsiveNodeIsPolledOnceItIsReportedAsPrimaryOfALaterEpoch() {
        assertEquals("a:1", lastPolledNode());
        timeOutPoll(); // its machine is still starting
        assertEquals("b:1", lastPolledNode());
        pendingCallback.accept(redirection("a:1", 4));
        clock.run(60);
        assertEquals("a:1", lastPolledNode());
    }

    @Test
    void unresponsivePrimaryIsNotPolledWhenItIsReportedForTheKnownEpoch() {
        pendingCallback.accept(response(3, 7));
        assertEquals("a:1", lastPolledNode());
        timeOutPoll();
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
    void unreachablePrimaryIsPolledThroughARelayAndLaterDirectlyAgain() {
        pendingCallback.accept(response(3, 7));
        timeOutPoll();
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
    void failedPrimaryCostsAStartingBalancerAtMostTwoPolls() {
        timeOutPoll();
        pendingCallback.accept(redirection("a:1", 4));
        clock.run(60);
        assertEquals("a:1", lastPolledNode());
        timeOutPoll();
        pendingCallback.accept(redirection("a:1", 4));
        clock.run(60);
        assertTrue(List.of("b:1", "c:1").contains(lastPolledNode()));
    }

    @Test
    void drainedZonesAreAppliedAndKeptWhenAnotherPrimaryDoesNotKnowThem() {
        PollResponse withDrainedZone = response(3, 7);
        withDrainedZone.drainedZones = DrainedZones.of(List.of("z"));
        pendingCallback.accept(withDrainedZone);
        assertEquals(List.of("z"), polls.get(polls.size() - 1).drainedZones.names);
        pendingCallback.accept(response(4, 7));
        assertEquals(List.of("z"), dataPlane.directory().drainedZones());
        PollResponse withEmptyDrainedZones = response(4, 7);
        withEmptyDrainedZones.drainedZones = DrainedZones.of(List.of());
        pendingCallback.accept(withEmptyDrainedZones);
        assertEquals(List.of(), dataPlane.directory().drainedZones());
    }

    @Test
    void backupRedirectsToThePrimary() {
        PollResponse redirection = new PollResponse();
        redirection.primaryAddress = "c:1";
        pendingCallback.accept(redirection);
        clock.run(60);
        assertEquals("c:1", lastPolledNode());
    }

    @Test
    void nonAuthoritativeBalancerListGivesNoBudgetForColdUpstreams() {
        PollResponse response = response(3, 0);
        response.balancerList = List.of(BalancerAddress.of("e", "e:1"));
        pendingCallback.accept(response);
        assertEquals(0, dataPlane.warmupContext().ownership().balancerCount());
        response.authoritative = true;
        pendingCallback.accept(response);
        assertEquals(1, dataPlane.warmupContext().ownership().balancerCount());
    }
}
