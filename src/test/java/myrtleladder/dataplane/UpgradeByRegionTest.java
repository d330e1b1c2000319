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
 * A model is upgraded zone by zone while replies are in flight at several balancers: each reply
 * completes where it began, and requests of a session go to one upstream before and after.
 */
class UpgradeByRegionTest {
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
    private int attempts;
    private long lastEventId = 1;

    /** A reply in flight, with the request that was sent for it. */
    private record Reply(ScriptedClient client, SentRequest sent) {}

    @BeforeEach
    void startBalancers() {
        for (int i = 0; i < ZONES * UPSTREAMS_PER_ZONE; i++) {
            store("old" + i, "m", i / UPSTREAMS_PER_ZONE, Stage.READY, i + 1);
        }
        store("cert0", "p", 0, Stage.READY, 1);
        store("cert1", "p", 1, Stage.READY, 2);
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

    private void store(String id, String service, int zone, Stage stage, int ordinal) {
        records.put(
                id,
                InstanceRecord.of(id, service, "10.0.0.1:80", "z" + zone, 64, "v1", stage, 1)
                        .withOrdinal(ordinal));
    }

    private void update(String id, String service, int zone, Stage stage, int ordinal) {
        store(id, service, zone, stage, ordinal);
        balancers.forEach(balancer -> balancer.update(records.get(id)));
        sendNextEvent();
        clock.run(UPDATE_INTERVAL_MS);
    }

    private SentRequest send(int balancer, String path, String... fields) {
        String[] all = new String[fields.length + 4];
        all[0] = HeaderNames.ATTEMPT_ID;
        all[1] = "a" + attempts++;
        all[2] = HeaderNames.DEADLINE_MS;
        all[3] = "60000";
        System.arraycopy(fields, 0, all, 4, fields.length);
        List<SentRequest> requests = balancers.get(balancer).connections.sent;
        int before = requests.size();
        ScriptedClient client = balancers.get(balancer).send(path, all);
        assertEquals(before + 1, requests.size(), "sent once");
        SentRequest sent = requests.get(before);
        replies.add(new Reply(client, sent));
        return sent;
    }

    /** Sends a request of a session; its reply begins and stays in flight. */
    private SentRequest startReply(int balancer, int session) {
        SentRequest sent =
                send(
                        balancer,
                        "/s/" + session,
                        HeaderNames.PROMPT_PREFIX,
                        "5e55" + session + ":9000,b" + attempts + ":50",
                        HeaderNames.TOKEN_USAGE,
                        "9050,10");
        clock.run(PREFILL_MS);
        sent.respondHead(200);
        sent.sendEvent(1);
        return sent;
    }

    private int requestsSent() {
        return balancers.stream().mapToInt(balancer -> balancer.connections.sent.size()).sum();
    }

    private static List<InFlightRequests> leavingInFlight(DataPlaneContext balancer) {
        return balancer.dataPlane.directory().inFlightAtLeavingUpstreams();
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

    private Set<String> upstreamsOf(int session) {
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
    void repliesInFlightCompleteWhereTheyBeganWhileEveryZoneIsUpgraded() {
        for (int session = 0; session < SESSIONS; session++) {
            startReply(session % BALANCERS, session);
            sendNextEvent();
        }
        for (int request = 0; request < SESSIONS; request++) {
            send(request % BALANCERS, "/c/" + request);
        }
        int sent = requestsSent();
        for (int number = 0; number < ZONES * UPSTREAMS_PER_ZONE; number++) {
            replaceUpstream(number);
        }
        int inFlight = 0;
        for (DataPlaneContext balancer : balancers) {
            for (InFlightRequests requests : leavingInFlight(balancer)) {
                inFlight += requests.requests;
            }
        }
        assertEquals(SESSIONS, inFlight, "all model replies are at upstreams that left");
        for (Reply reply : replies) {
            if (reply.client().head().path().startsWith("/c/")) {
                reply.sent().respondHead(200);
                reply.sent().sendBytes("ok");
            }
        }
        completeReplies();
        assertEquals(sent, requestsSent(), "sent twice");
        for (Reply reply : replies) {
            assertFalse(reply.sent().closed, "dropped");
            assertTrue(reply.client().ended, "not complete");
            assertEquals(1, reply.client().responses);
            if (reply.client().head().path().startsWith("/s/")) {
                assertTrue(
                        reply.client().body.toString().endsWith("data: x" + lastEventId + "\n\n"));
            }
        }
        balancers.forEach(balancer -> assertTrue(leavingInFlight(balancer).isEmpty()));
    }

    @Test
    void requestsOfASessionGoToTheReplacementOfTheirUpstream() {
        Map<Integer, String> before = new HashMap<>();
        for (int session = 0; session < SESSIONS; session++) {
            Set<String> upstreams = upstreamsOf(session);
            assertEquals(1, upstreams.size(), "balancers differ: " + upstreams);
            before.put(session, upstreams.iterator().next());
            completeReplies();
        }
        for (int number = 0; number < ZONES * UPSTREAMS_PER_ZONE; number++) {
            replaceUpstream(number);
        }
        for (int session = 0; session < SESSIONS; session++) {
            Set<String> upstreams = upstreamsOf(session);
            completeReplies();
            assertEquals(Set.of(before.get(session).replace("old", "new")), upstreams);
        }
    }

    @Test
    void newUpstreamWithoutOrdinalTakesNoSessionFromAnother() {
        Map<Integer, Set<String>> before = new HashMap<>();
        for (int session = 0; session < SESSIONS; session++) {
            before.put(session, upstreamsOf(session));
            completeReplies();
        }
        for (int i = 0; i < ZONES; i++) {
            update("extra" + i, "m", i, Stage.READY, InstanceRecord.UNASSIGNED_ORDINAL);
        }
        for (int session = 0; session < SESSIONS; session++) {
            assertEquals(before.get(session), upstreamsOf(session));
            completeReplies();
        }
    }
}
