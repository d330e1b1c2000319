package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import myrtleladder.dataplane.ScriptedConnectionPool.SentRequest;
import myrtleladder.protocol.InFlightRequests;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import myrtleladder.replication.ManualScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A model is upgraded zone by zone while replies are in flight at several balancers. Each reply
 * must complete at the upstream where it started, and all balancers must send the requests of a
 * session to the same upstream, before and after the upgrade.
 */
class ZoneUpgradeTest {
    private static final int BALANCERS = 4;
    private static final int ZONES = 3;
    private static final int UPSTREAMS_PER_ZONE = 3;
    private static final int SESSIONS = 30;
    private static final long UPDATE_INTERVAL_MS = 400;
    private static final long PREFILL_MS = 150;
    private static final String DOCUMENT =
            "{'generation':1,'routes':["
                    + "{'name':'s','hostname':'h.example','path_prefix':'/s/',"
                    + "'type':'streaming','timeout_ms':60000,'target_latency_ms':600,"
                    + "'backend':'m','retries':2,'resumable':true,'gap_aim_ms':400},"
                    + "{'name':'c','hostname':'h.example','path_prefix':'/c/',"
                    + "'type':'non_idempotent','timeout_ms':60000,'backend':'p',"
                    + "'retries':2}],"
                    + "'services':[{'name':'m','engine':{'capacity':64,"
                    + "'kv_tokens':5000000,'stride':5}},{'name':'p'}]}";

    private final ManualScheduler clock = new ManualScheduler();
    private final List<DataPlaneContext> balancers = new ArrayList<>();
    private final List<Reply> replies = new ArrayList<>();
    private final Map<String, InstanceRecord> records = new HashMap<>();
    private int attemptCount;
    private long lastEventId = 1;

    /** A reply in flight and the request sent to an upstream for it. */
    private record Reply(ScriptedClient client, SentRequest sent) {}

    @BeforeEach
    void startBalancers() {
        for (int i = 0; i < ZONES * UPSTREAMS_PER_ZONE; i++) {
            putRecord("old" + i, "m", i / UPSTREAMS_PER_ZONE, Stage.READY, i + 1);
        }
        putRecord("cert0", "p", 0, Stage.READY, 1);
        putRecord("cert1", "p", 1, Stage.READY, 2);
        for (int i = 0; i < BALANCERS; i++) {
            balancers.add(
                    new DataPlaneContext.Builder()
                            .withClock(clock)
                            .withSeed(i)
                            .withConfiguration(DOCUMENT)
                            .withRecords(records.values())
                            .build());
        }
    }

    private void putRecord(String id, String service, int zone, Stage stage, int ordinal) {
        records.put(
                id,
                InstanceRecord.of(id, service, "10.0.0.1:80", "z" + zone, 64, "v1", stage, 1)
                        .withOrdinal(ordinal));
    }

    private void update(String id, String service, int zone, Stage stage, int ordinal) {
        putRecord(id, service, zone, stage, ordinal);
        balancers.forEach(balancer -> balancer.update(records.get(id)));
        sendNextEvent();
        clock.run(UPDATE_INTERVAL_MS);
    }

    private SentRequest send(int balancer, String path, String... fields) {
        String[] allFields = new String[fields.length + 4];
        allFields[0] = HeaderNames.ATTEMPT_ID;
        allFields[1] = "a" + attemptCount++;
        allFields[2] = HeaderNames.DEADLINE_MS;
        allFields[3] = "60000";
        System.arraycopy(fields, 0, allFields, 4, fields.length);
        List<SentRequest> requests = balancers.get(balancer).connections.sent;
        int sentBefore = requests.size();
        ScriptedClient client = balancers.get(balancer).send(path, allFields);
        assertEquals(sentBefore + 1, requests.size(), "sent once");
        SentRequest sent = requests.get(sentBefore);
        replies.add(new Reply(client, sent));
        return sent;
    }

    /** Sends a request of a session and starts its reply, which stays in flight. */
    private SentRequest startReply(int balancer, int session) {
        SentRequest sent =
                send(
                        balancer,
                        "/s/" + session,
                        HeaderNames.PROMPT_PREFIX,
                        "5e55" + session + ":9000,b" + attemptCount + ":50",
                        HeaderNames.TOKEN_USAGE,
                        "9050,10");
        clock.run(PREFILL_MS);
        sent.respondHead(200);
        sent.sendEvent(1);
        return sent;
    }

    private int sentRequestCount() {
        return balancers.stream().mapToInt(balancer -> balancer.connections.sent.size()).sum();
    }

    private static List<InFlightRequests> inFlightAtRemovedUpstreams(DataPlaneContext balancer) {
        return balancer.dataPlane.directory().inFlightAtRemovedUpstreams();
    }

    private void sendNextEvent() {
        lastEventId++;
        for (Reply reply : replies) {
            if (!reply.client().ended && reply.client().head().path().startsWith("/s/")) {
                reply.sent().sendEvent(lastEventId);
            }
        }
    }

    private void completeReplies() {
        for (Reply reply : replies) {
            if (!reply.client().ended) {
                reply.sent().completeResponse();
            }
        }
    }

    private Set<String> upstreamsForSession(int session) {
        Set<String> upstreams = new HashSet<>();
        for (int balancer = 0; balancer < BALANCERS; balancer++) {
            upstreams.add(startReply(balancer, session).upstream.record().id);
        }
        return upstreams;
    }

    private void replaceUpstream(int number) {
        int zone = number / UPSTREAMS_PER_ZONE;
        update("new" + number, "m", zone, Stage.READY, InstanceRecord.UNASSIGNED_ORDINAL);
        update("old" + number, "m", zone, Stage.DRAINING, number + 1);
        update("new" + number, "m", zone, Stage.READY, number + 1);
        update("old" + number, "m", zone, Stage.GONE, number + 1);
    }

    @Test
    void repliesInFlightCompleteAtTheirUpstreamsWhileEveryZoneIsUpgraded() {
        for (int session = 0; session < SESSIONS; session++) {
            startReply(session % BALANCERS, session);
            sendNextEvent();
        }
        for (int request = 0; request < SESSIONS; request++) {
            send(request % BALANCERS, "/c/" + request);
        }
        int sent = sentRequestCount();
        for (int number = 0; number < ZONES * UPSTREAMS_PER_ZONE; number++) {
            replaceUpstream(number);
        }
        int inFlight = 0;
        for (DataPlaneContext balancer : balancers) {
            for (InFlightRequests requests : inFlightAtRemovedUpstreams(balancer)) {
                inFlight += requests.requests;
            }
        }
        assertEquals(SESSIONS, inFlight, "all model replies are in flight at removed upstreams");
        for (Reply reply : replies) {
            if (reply.client().head().path().startsWith("/c/")) {
                reply.sent().respondHead(200);
                reply.sent().sendBytes("ok");
            }
        }
        completeReplies();
        assertEquals(sent, sentRequestCount(), "a request was sent again");
        for (Reply reply : replies) {
            assertFalse(reply.sent().closed, "a reply was cancelled");
            assertTrue(reply.client().ended, "a reply is incomplete");
            assertEquals(1, reply.client().responses);
            if (reply.client().head().path().startsWith("/s/")) {
                assertTrue(
                        reply.client().body.toString().endsWith("data: x" + lastEventId + "\n\n"));
            }
        }
        balancers.forEach(balancer -> assertTrue(inFlightAtRemovedUpstreams(balancer).isEmpty()));
    }

    @Test
    void requestsOfASessionGoToTheReplacementOfTheirUpstream() {
        Map<Integer, String> upstreamsBefore = new HashMap<>();
        for (int session = 0; session < SESSIONS; session++) {
            Set<String> upstreams = upstreamsForSession(session);
            assertEquals(1, upstreams.size(), "balancers differ: " + upstreams);
            upstreamsBefore.put(session, upstreams.iterator().next());
            completeReplies();
        }
        for (int number = 0; number < ZONES * UPSTREAMS_PER_ZONE; number++) {
            replaceUpstream(number);
        }
        for (int session = 0; session < SESSIONS; session++) {
            Set<String> upstreams = upstreamsForSession(session);
            completeReplies();
            assertEquals(Set.of(upstreamsBefore.get(session).replace("old", "new")), upstreams);
        }
    }

    @Test
    void newUpstreamWithoutOrdinalReceivesNoExistingSession() {
        Map<Integer, Set<String>> upstreamsBefore = new HashMap<>();
        for (int session = 0; session < SESSIONS; session++) {
            upstreamsBefore.put(session, upstreamsForSession(session));
            completeReplies();
        }
        for (int i = 0; i < ZONES; i++) {
            update("extra" + i, "m", i, Stage.READY, InstanceRecord.UNASSIGNED_ORDINAL);
        }
        for (int session = 0; session < SESSIONS; session++) {
            assertEquals(upstreamsBefore.get(session), upstreamsForSession(session));
            completeReplies();
        }
    }
}
