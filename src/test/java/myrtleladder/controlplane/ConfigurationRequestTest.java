package myrtleladder.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import myrtleladder.protocol.HeartbeatRequest;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.PollRequest;
import myrtleladder.protocol.PollResponse;
import myrtleladder.protocol.ReplicateRequest;
import myrtleladder.protocol.View;
import myrtleladder.replication.Replica;
import org.junit.jupiter.api.Test;

/** Operator requests to {@code /config} of a primary. */
class ConfigurationRequestTest {
    private final ControlPlaneFixture node = new ControlPlaneFixture();

    @Test
    void changeIsAcknowledgedOnceReplicatedAndReadBackUnchanged() {
        RecordedExchange put =
                node.change("PUT", "0", "{'generation':3,'services':[{'name':'s'}]}");
        assertEquals(200, put.status);
        assertTrue(node.hasSent(m -> m instanceof ReplicateRequest r && r.generation == 3));
        assertEquals(
                "{\"generation\":3,\"services\":[{\"name\":\"s\"}]}",
                node.readConfiguration().body);
    }

    @Test
    void repeatedChangeIsAcknowledgedAgainAlsoAfterLaterChanges() {
        String patch = "{'generation':5,'upsert':{'services':[{'name':'x'}]}}";
        assertEquals(200, node.change("PUT", "0", "{'generation':3}").status);
        assertEquals(200, node.change("PUT", "0", "{'generation':3}").status);
        assertEquals(200, node.change("PATCH", "3", patch).status);
        assertEquals(200, node.change("PUT", "0", "{'generation':3}").status);
        assertEquals(
                "{\"generation\":5,\"services\":[{\"name\":\"x\"}]}",
                node.readConfiguration().body);
    }

    @Test
    void secondOfTwoConcurrentChangesOfOneGenerationFailsItsPrecondition() {
        node.change("PUT", "0", "{'generation':3}");
        RecordedExchange first =
                RecordedExchange.matching(
                        "3", "PUT", "/config", "{'generation':5,'services':[{'name':'a'}]}");
        RecordedExchange second =
                RecordedExchange.matching(
                        "3", "PUT", "/config", "{'generation':5,'services':[{'name':'b'}]}");
        node.plane.handle(first);
        node.plane.handle(second);
        node.clock.run(100);
        assertEquals(200, first.status);
        assertEquals(412, second.status);
    }

    @Test
    void invalidChangeIsRejectedWithItsErrorCode() {
        node.change("PUT", "0", "{'generation':3}");
        RecordedExchange rejected =
                node.change(
                        "PUT",
                        "3",
                        "{'generation':4,'routes':[{'name':'r','hostname':'h','path_prefix':'/',"
                                + "'backend':'none','timeout_ms':1}]}");
        assertEquals(400, rejected.status);
        assertTrue(rejected.body.contains("E203 UNKNOWN_SERVICE"), rejected.body);
        assertEquals(412, node.change("PUT", "2", "{'generation':9}").status);
    }

    @Test
    void allRequestsAreAnswered503WithoutAMajority() {
        node.change("PUT", "0", "{'generation':3}");
        node.partitionPeers();
        RecordedExchange put = node.change("PUT", "3", "{'generation':5}");
        RecordedExchange get = node.readConfiguration();
        RecordedExchange stale = node.change("PUT", "1", "{'generation':6}");
        node.clock.run(4_000);
        assertEquals(503, put.status);
        assertEquals(503, get.status);
        assertEquals(503, stale.status);
        PollRequest poll = new PollRequestBuilder().build();
        assertFalse(((PollResponse) node.receive(poll).get(0)).fromPrimary);
    }

    @Test
    void deposedPrimaryAnswers503InsteadOfAFailedPrecondition() {
        node.change("PUT", "0", "{'generation':3}");
        node.setEpochPromisedByPeers(99);
        assertEquals(503, node.change("PUT", "1", "{'generation':9}").status);
        assertEquals(Replica.State.FOLLOWER, node.replica.state());
    }

    @Test
    void followerRedirectsToThePrimary() {
        assertEquals(200, node.change("PUT", "0", "{'generation':2}").status);
        Member primary = Member.of("b:1", "b:2", "first-b:1");
        var group = node.replica.view().group;
        node.receive(HeartbeatRequest.of(View.of(50, primary, group, group, group)));
        node.clock.run(20);
        RecordedExchange put = node.change("PUT", "0", "{'generation':3}");
        assertEquals(307, put.status);
        assertEquals("http://b:2/config", put.headers.get("Location"));
    }
}
