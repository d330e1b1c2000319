package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import myrtleladder.protocol.DrainedZones;
import myrtleladder.protocol.HeartbeatRequest;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PollRequest;
import myrtleladder.protocol.PollResponse;
import myrtleladder.protocol.View;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Evacuations of zones by an operator at {@code /drain/ZONE} of a primary. */
class DrainRequestTest {
    private final ControlPlaneFixture node = new ControlPlaneFixture();

    private int order(String method, String zone) {
        return node.send(RecordedExchange.of(method, "/drain/" + zone, ""), 50).status;
    }

    private List<String> zonesPolled() {
        return poll().drainedZones.names;
    }

    private PollResponse poll() {
        PollRequest poll = new PollRequestBuilder().build();
        poll.immediate = true;
        return (PollResponse) node.receive(poll).get(0);
    }

    @Test
    void upstreamsOfAZoneTakenBackAreColdUntilTheirNextHeartbeat() {
        node.heartbeat("i", "ready", 1);
        assertEquals(200, order("POST", "z"));
        assertEquals(0, poll().instances.get(0).warmupLeftMs());
        assertEquals(200, order("DELETE", "z"));
        assertTrue(poll().instances.get(0).warmupLeftMs() > 0);
        node.heartbeat("i", "ready", 2);
        assertEquals(0, poll().instances.get(0).warmupLeftMs());
    }

    @Test
    void evacuationIsOnTheDiskWhenItIsAcknowledged() {
        assertEquals(200, order("POST", "z-1"));
        assertEquals(List.of("z-1"), node.stored.snapshot.drainedZones);
        assertEquals(200, order("DELETE", "z-1"));
        assertEquals(List.of(), node.stored.snapshot.drainedZones);
    }

    @Test
    void repeatedOrdersAreAcknowledged() {
        assertEquals(200, order("DELETE", "z"));
        assertEquals(200, order("POST", "z"));
        assertEquals(200, order("POST", "z"));
        assertEquals(200, order("POST", "y"));
        assertEquals(List.of("y", "z"), zonesPolled());
        assertEquals(200, order("DELETE", "z"));
        assertEquals(200, order("DELETE", "z"));
        assertEquals(List.of("y"), zonesPolled());
    }

    @Test
    void evacuationAndConfigurationKeepEachOther() {
        assertEquals(200, order("POST", "z"));
        assertEquals(200, node.change("PUT", "0", "{'generation':3}").status);
        assertEquals(List.of("z"), node.stored.snapshot.drainedZones);
        assertEquals(200, order("POST", "y"));
        assertEquals("{\"generation\":3}", node.readConfiguration().body);
        assertEquals(200, node.change("PUT", "0", "{'generation':3}").status);
        assertEquals(List.of("y", "z"), node.stored.snapshot.drainedZones);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "a/b", "a%20b", "a b", "zone,other", "é"})
    void namesThatAreNoZonesAreRefused(String zone) {
        assertEquals(400, order("POST", zone));
        assertEquals(400, order("DELETE", zone));
    }

    @Test
    void namesMayHaveAHundredCharactersAtMost() {
        assertEquals(200, order("POST", "A.b_c-9" + "x".repeat(93)));
        assertEquals(400, order("POST", "A.b_c-9" + "x".repeat(94)));
    }

    @Test
    void otherMethodsAreRefused() {
        assertEquals(405, order("GET", "z"));
        assertEquals(405, order("PUT", "z"));
    }

    @Test
    void withoutAMajorityNeitherOrdersNorRepeatsAreAcknowledged() {
        assertEquals(200, order("POST", "z"));
        node.partitionPeers();
        RecordedExchange repeat = node.send(RecordedExchange.of("POST", "/drain/z", ""), 0);
        RecordedExchange next = node.send(RecordedExchange.of("POST", "/drain/y", ""), 4_000);
        assertEquals(503, repeat.status);
        assertEquals(503, next.status);
    }

    @Test
    void followerRedirectsToThePrimary() {
        Member primary = Member.of("b:1", "b:2", "first-b:1");
        var group = node.replica.view().group;
        node.receive(HeartbeatRequest.of(View.of(50, primary, group, group, group)));
        node.clock.run(20);
        RecordedExchange post = node.send(RecordedExchange.of("POST", "/drain/z", ""), 50);
        assertEquals(307, post.status);
        assertEquals("http://b:2/drain/z", post.headers.get("Location"));
    }

    private List<Message> waitingPoll(DrainedZones known) {
        PollRequest poll = new PollRequestBuilder().build();
        PollResponse current = (PollResponse) node.receive(immediate(poll)).get(0);
        poll.immediate = false;
        poll.epoch = current.epoch;
        poll.generation = current.generation;
        poll.instanceRevision = current.instanceRevision;
        poll.hasAuthoritativeList = true;
        poll.drainedZones = known;
        return node.receive(poll);
    }

    private static PollRequest immediate(PollRequest poll) {
        poll.immediate = true;
        return poll;
    }

    @Test
    void waitingPollsAreAnsweredAtOnceWithTheZones() {
        List<Message> waiting = waitingPoll(DrainedZones.of(List.of()));
        assertEquals(0, waiting.size());
        node.send(RecordedExchange.of("POST", "/drain/z", ""), 20);
        assertEquals(1, waiting.size());
        assertEquals(List.of("z"), ((PollResponse) waiting.get(0)).drainedZones.names);
        assertEquals(0, waitingPoll(DrainedZones.of(List.of("z"))).size());
    }

    @Test
    void balancerThatKnowsNoEvacuationsIsNotAnsweredOverAndOver() {
        assertEquals(200, order("POST", "z"));
        assertEquals(0, waitingPoll(null).size());
    }
}
