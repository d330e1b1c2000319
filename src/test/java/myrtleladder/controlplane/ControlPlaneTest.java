package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.JoinRequest;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PollRequest;
import myrtleladder.protocol.PollResponse;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.QuotaResponse;
import myrtleladder.replication.Replica;
import org.junit.jupiter.api.Test;

/** Polls and quota requests that balancers send to a primary. */
class ControlPlaneTest {
    private final ControlPlaneFixture node = new ControlPlaneFixture();

    private PollResponse firstPoll() {
        return (PollResponse) node.receive(new PollRequestBuilder().build()).get(0);
    }

    private QuotaResponse requestQuota() {
        return (QuotaResponse) node.receive(QuotaRequest.of("t", 5)).get(0);
    }

    @Test
    void pollWaitsForAnUpdateAndIsAnsweredAtOnce() {
        node.change("PUT", "0", "{'generation':3}");
        node.clock.run(4_000);
        PollResponse first = firstPoll();
        assertTrue(
                first.fromPrimary
                        && first.authoritative
                        && first.fullInstanceList
                        && first.document.length > 0);
        PollRequest poll =
                new PollRequestBuilder()
                        .generation(3)
                        .epoch(first.epoch)
                        .instanceRevision(first.instanceRevision)
                        .authoritativeList()
                        .build();
        List<Message> responses = node.receive(poll);
        assertEquals(List.of(), responses);
        node.heartbeat("i", "ready", 1);
        assertEquals(1, responses.size());
        PollResponse update = (PollResponse) responses.get(0);
        assertEquals("i", update.instances.get(0).id);
        assertEquals(0, update.document.length);
        poll.instanceRevision++;
        responses = node.receive(poll);
        node.clock.run(600);
        assertEquals(1, responses.size());
    }

    /** Guards against a response that fails and leaves the polls behind it waiting. */
    @Test
    void waitingPollsAreAnsweredBehindOneWhoseResponseFails() {
        node.change("PUT", "0", "{'generation':3}");
        node.clock.run(4_000);
        PollResponse first = firstPoll();
        PollRequestBuilder upToDate =
                new PollRequestBuilder()
                        .generation(3)
                        .epoch(first.epoch)
                        .instanceRevision(first.instanceRevision)
                        .authoritativeList();
        node.plane.receive(
                upToDate.build(),
                response -> {
                    throw new IllegalStateException("a bug");
                });
        List<Message> responses = node.receive(upToDate.build());
        assertEquals(200, node.heartbeat("i", "ready", 1).status);
        assertEquals(1, responses.size());
    }

    @Test
    void waitingPollIsAnsweredAtOnceWhenAKnownUpstreamBecomesCold() {
        node.heartbeat("i", "ready", 1);
        node.clock.run(4_000);
        node.heartbeat("i", "ready", 2);
        PollResponse first = firstPoll();
        PollRequest poll =
                new PollRequestBuilder()
                        .generation(first.generation)
                        .epoch(first.epoch)
                        .instanceRevision(first.instanceRevision)
                        .authoritativeList()
                        .build();
        List<Message> responses = node.receive(poll);
        String body =
                "{'backend':'s','address':'10.0.0.1:80','zone':'z','capacity':8,'state':'ready',"
                        + "'sequence':3,'warmup_left_ms':3000}";
        node.send(RecordedExchange.of("PUT", "/instances/i", body), 20);
        assertEquals(1, responses.size());
        InstanceRecord reportedRecord = ((PollResponse) responses.get(0)).instances.get(0);
        assertTrue(
                reportedRecord.warmupLeftMs() >= 3_000,
                "remaining warm-up " + reportedRecord.warmupLeftMs());
    }

    @Test
    void balancersAndUpstreamsAreAnsweredWhileThePrimaryChangesItsView() {
        node.change("PUT", "0", "{'generation':3}");
        node.receive(JoinRequest.of(Member.of("d:1", "d:2", "d")));
        while (node.replica.state() == Replica.State.PRIMARY) {
            node.clock.run(1);
        }
        assertEquals(Replica.State.CANDIDATE, node.replica.state());
        assertTrue(requestQuota().fromPrimary);
        assertTrue(firstPoll().fromPrimary);
        assertEquals(200, node.heartbeat("i", "ready", 1).status);
        node.clock.run(100);
        node.partitionPeers();
        node.clock.run(2_000);
        assertFalse(requestQuota().fromPrimary);
    }
}
