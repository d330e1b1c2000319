package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import myrtleladder.protocol.HeartbeatRequest;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PollRequest;
import myrtleladder.protocol.PollResponse;
import myrtleladder.protocol.QuotaRequest;
import myrtleladder.protocol.View;
import org.junit.jupiter.api.Test;

/** A member relays requests of balancers that cannot reach the primary themselves. */
class PrimaryRelayTest {
    private final ControlPlaneFixture node = new ControlPlaneFixture();

    private void followAnotherPrimary() {
        Member primary = Member.of("b:1", "b:2", "first-b:1");
        var group = node.replica.view().group;
        node.receive(HeartbeatRequest.of(View.of(50, primary, group, group, group)));
        node.clock.run(20);
        node.sent.clear();
    }

    private static PollRequest poll() {
        PollRequest poll = new PollRequestBuilder().build();
        poll.relayWanted = true;
        return poll;
    }

    @Test
    void pollAndQuotaRequestAreRelayedOnce() {
        followAnotherPrimary();
        QuotaRequest quota = QuotaRequest.of("t", 5);
        quota.relayWanted = true;
        node.receive(poll());
        node.receive(quota);
        assertTrue(node.hasSent(m -> m instanceof PollRequest p && p.relayWanted == null));
        assertTrue(node.hasSent(m -> m instanceof QuotaRequest q && q.relayWanted == null));
    }

    @Test
    void requestWithoutTheRelayFieldIsNotRelayed() {
        followAnotherPrimary();
        node.receive(new PollRequestBuilder().build());
        assertFalse(node.hasSent(m -> m instanceof PollRequest));
    }

    @Test
    void balancerGetsANegativeResponseIfThePrimaryDoesNotAnswer() {
        followAnotherPrimary();
        node.partitionPeers();
        List<Message> responses = node.receive(poll());
        node.clock.run(700);
        assertEquals(1, responses.size());
        assertFalse(((PollResponse) responses.get(0)).fromPrimary);
    }

    @Test
    void primaryAnswersWithoutRelaying() {
        PollRequest poll = poll();
        poll.immediate = true;
        assertTrue(((PollResponse) node.receive(poll).get(0)).fromPrimary);
        assertNull(poll.relayWanted);
        assertFalse(node.hasSent(m -> m instanceof PollRequest));
    }
}
