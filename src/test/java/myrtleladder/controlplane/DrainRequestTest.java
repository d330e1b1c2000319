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

/** Zone evacuations that an operator requests at {@code /drain/ZONE} of a primary. */
class DrainRequestTest {
    private final ControlPlaneFixture node = new ControlPlaneFixture();

    private int sendDrainRequest(String method, String zone) {
        return node.send(RecordedExchange.of(method, "/drain/" + zone, ""), 50).status;
    }

    private List<String> polledZones() {
        return poll().drainedZones.names;
    }

    private PollResponse poll() {
        PollRequest poll = new PollRequestBuilder().build();
        poll.immediate = true;
        return (PollResponse) node.receive(poll).get(0);
    }

    @Test
    void upstreamsOfARestoredZoneAreColdUntilTheirNextHeartbeat() {
        node.heartbeat("i", "ready", 1);
        assertEquals(200, sendDrainRequest("POST", "z"));
        assertEquals(0, poll().instances.get(0).warmupLeftMs());
        assertEquals(200, sendDrainRequest("DELETE", "z"));
        assertTrue(poll().instances.get(0).warmupLeftMs() > 0);
        node.heartbeat("i", "ready", 2);
        assertEquals(0, poll().instances.get(0).warmupLeftMs());
    }

    @Test
    void evacuationIsDurableWhenItIsAcknowledged() {
        assertEquals(200, sendDrainRequest("POST", "z-1"));
        assertEquals(List.of("z-1"), node.storedState.snapshot.drainedZones);
        assertEquals(200, sendDrainRequest("DELETE", "z-1"));
        assertEquals(List.of(), node.storedState.snapshot.drainedZones);
    }

    @Test
    void repeatedRequestsAreAcknowledged() {
        assertEquals(200, sendDrainRequest("DELETE", "z"));
        assertEquals(200, sendDrainRequest("POST", "z"));
        assertEquals(200, sendDrainRequest("POST", "z"));
        assertEquals(200, sendDrainRequest("POST", "y"));
        assertEquals(List.of("y", "z"), polledZones());
        assertEquals(200, sendDrainRequest("DELETE", "z"));
        assertEquals(200, sendDrainRequest("DELETE", "z"));
        assertEquals(List.of("y"), polledZones());
    }

    @Test
    void evacuationsAndConfigurationChangesDoNotOverwriteEachOther() {
        assertEquals(200, sendDrainRequest("POST", "z"));
        assertEquals(200, node.change("PUT", "0", "{'generation':3}").status);
        assertEquals(List.of("z"), node.storedState.snapshot.drainedZones);
        assertEquals(200, sendDrainRequest("POST", "y"));
        assertEquals("{\"generation\":3}", node.readConfiguration().body);
        assertEquals(200, node.change("PUT", "0", "{'generation':3}").status);
        assertEquals(List.of("y", "z"), node.storedState.snapshot.drainedZones);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "a/b", "a%20b", "a b", "zone,other", "é"})
    void invalidZoneNamesAreRefused(String zone) {
        assertEquals(400, sendDrainRequest("POST", zone));
        assertEquals(400, sendDrainRequest("DELETE", zone));
    }

    @Test
    void zoneNamesMayHave100CharactersAtMost() {
        assertEquals(200, sendDrainRequest("POST", "A.b_c-9" + "x".repeat(93)));
        assertEquals(400, sendDrainRequest("POST", "A.b_c-9" + "x".repeat(94)));
    }

    @Test
    void otherMethodsAreRefused() {
        assertEquals(405, sendDrainRequest("GET", "z"));
        assertEquals(405, sendDrainRequest("PUT", "z"));
    }

    @Test
    void neitherRequestsNorRepeatsAreAcknowledgedWithoutAMajority() {
        assertEquals(200, sendDrainRequest("POST", "z"));
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
    void balancerWithoutEvacuationSupportIsNotAnsweredRepeatedly() {
        assertEquals(200, sendDrainRequest("POST", "z"));
        assertEquals(0, waitingPoll(null).size());
    }
}
