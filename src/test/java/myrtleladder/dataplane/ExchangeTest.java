package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.Json;
import myrtleladder.dataplane.ScriptedLinks.Sent;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import myrtleladder.protocol.QuotaResponse;
import myrtleladder.replication.ManualScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests from arrival to final answer, with scripted upstreams on a manual clock. */
class ExchangeTest {
    private static final String MODEL = "Myrtleladder-Model";
    private static final String DOCUMENT =
            ("{'generation':7,'routes':[{'name':'s','hostname':'h.example','path_prefix':'/s/',"
                 + "'type':'streaming','timeout_ms':8000,"
                 + "'target_latency_ms':600,'priority':1,'backend':'m','retries':2,"
                 + "'resumable':true,'gap_aim_ms':400},"
                 + "{'name':'n','hostname':'h.example','path_prefix':'/n/',"
                 + "'type':'streaming','timeout_ms':5000,"
                 + "'target_latency_ms':600,'backend':'m','retries':1,'resumable':false},"
                 + "{'name':'u','hostname':'h.example','path_prefix':'/u/','type':'non_idempotent',"
                 + "'timeout_ms':1000,'backend':'p','retries':2},"
                 + "{'name':'i','hostname':'h.example','path_prefix':'/i/',"
                 + "'type':'idempotent','timeout_ms':1000,'backend':'p','retries':2},"
                 + "{'name':'o','hostname':'h.example','path_prefix':'/o/',"
                 + "'type':'idempotent','timeout_ms':1000,'backend':'p','retries':2,'public':true},"
                 + "{'name':'w','hostname':'h.example','path_prefix':'/w/',"
                 + "'type':'idempotent','timeout_ms':1000,'retries':1,"
                 + "'traffic_split':[{'backend':'p','weight':90},{'backend':'q','weight':10}]}],"
                 + "'services':[{'name':'m','engine':{'capacity':64,'kv_tokens':500000,"
                 + "'stride':5}},{'name':'p'},{'name':'q'}],"
                 + "'tenants':[{'name':'t1','api_keys':['k1'],'priority':1,'unit':'tokens',"
                 + "'plain_tokens':200,'rate_per_s':1000,'burst':1000}]}")
                    .replace('\'', '"');

    private final ManualScheduler clock = new ManualScheduler();
    private final ScriptedLinks links = new ScriptedLinks();
    private QuotaResponse grant = QuotaResponse.of(true, 1_000_000, 0);
    private Router router;

    @BeforeEach
    void start() {
        router =
                new Router(
                        clock,
                        links,
                        new RetryBudget(0.2, 100),
                        (ask, timeout, answer) -> answer.accept(grant),
                        1);
        router.use(Configuration.read(Json.readObject(DOCUMENT.getBytes(StandardCharsets.UTF_8))));
        List<InstanceRecord> records = new ArrayList<>();
        for (String service : new String[] {"m", "p", "q"}) {
            for (int i = 1; i <= 3; i++) {
                records.add(record(service + i, service, Stage.READY));
            }
        }
        router.directory().take(records, true);
        router.start();
    }

    private static InstanceRecord record(String id, String service, Stage stage) {
        return InstanceRecord.of(id, service, "10.0.0.1:80", "z", 64, "v1", stage, 1);
    }

    private ScriptedClient request(String path, String... fields) {
        ScriptedClient client = new ScriptedClient(path, fields);
        router.handle(client);
        return client;
    }

    @Test
    void theRequestIsSentOnWithWhatTheUpstreamHasToKnow() {
        request(
                "/s/1",
                Names.TENANT,
                "forged",
                "Connection",
                "X-Hop",
                "X-Hop",
                "1",
                "X-Other",
                "2",
                Names.LAST_EVENT,
                "12");
        Sent sent = links.last();
        assertEquals("/s/1", sent.head.target());
        assertEquals("t1", sent.header(Names.TENANT));
        assertEquals(sent.upstream.record().id, sent.header(Names.INSTANCE));
        assertEquals("8000", sent.header(Names.DEADLINE));
        assertEquals("3", sent.header(Names.PRIORITY)); // of tenants of rank 1, nothing to read
        assertEquals("a1", sent.header(Names.ATTEMPT));
        assertEquals("2", sent.header("X-Other"));
        assertEquals("12", sent.header(Names.LAST_EVENT));
        assertNull(sent.header("X-Hop"));
        assertNull(sent.header(Names.AUTHORIZATION));
    }

    @Test
    void unknownRoutesAndKeysAreRefusedAndPublicRoutesNeedNone() {
        assertEquals(404, request("/x/").status);
        assertEquals(401, request("/s/1", Names.AUTHORIZATION, "Token other").status);
        assertEquals(0, links.sent.size());
        request("/o/1", Names.AUTHORIZATION, "none", Names.TENANT, "forged");
        assertNull(links.last().header(Names.TENANT));
    }

    @Test
    void whatIsOverTheQuotaIsToldWhenToComeBack() {
        grant = QuotaResponse.of(true, 0, 700);
        ScriptedClient client = request("/s/1", Names.USAGE, "1400,80");
        assertEquals(429, client.status);
        assertEquals("0.700", client.headers.get(Names.RETRY_AFTER));
        assertEquals(0, links.sent.size());
    }

    @Test
    void eventsAreForwardedAsTheyArriveAndOnlyWhole() {
        ScriptedClient client = request("/s/1");
        Sent sent = links.last();
        sent.head(200, "Content-Type", "text/event-stream");
        assertEquals(0, client.answers);
        sent.bytes("id: 1\ndata: a");
        assertEquals("", client.body.toString());
        sent.bytes("\n\nid: 2\n");
        assertEquals("id: 1\ndata: a\n\n", client.body.toString());
        sent.bytes("data: b\n\n");
        sent.end();
        assertEquals("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", client.body.toString());
        assertTrue(client.ended && !client.aborted);
        assertEquals("sig", client.headers.get(Names.SIGNATURE));
    }

    @Test
    void aResumableStreamGoesOnAtAnotherUpstreamInsideOneAnswer() {
        ScriptedClient client = request("/s/1");
        Sent first = links.last();
        first.head(200);
        first.event(1);
        first.event(2);
        first.bytes("id: 3\nda");
        first.broken();
        Sent second = links.last();
        assertTrue(second.upstream != first.upstream);
        assertEquals("2", second.header(Names.LAST_EVENT));
        second.head(200, Names.SIGNATURE, "other");
        second.event(2);
        second.event(3);
        second.end();
        assertEquals(
                "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\nid: 3\ndata: x3\n\n",
                client.body.toString());
        assertEquals("sig", client.headers.get(Names.SIGNATURE));
        assertEquals(1, client.answers);
        assertTrue(client.ended);
    }

    private void upgradeAllButOne(String former) {
        for (int i = 1; i <= 3; i++) {
            String id = "m" + i;
            long weights = id.equals(former) ? 1 : 2;
            router.directory()
                    .take(List.of(record(id, "m", Stage.READY).withWeightsVersion(weights)), false);
        }
    }

    @Test
    void anAnswerGoesOnWithTheWeightsThatBeganItIfAnyUpstreamHasThem() {
        for (int i = 0; i < 20; i++) {
            request("/s/" + i);
            Sent first = links.last();
            String former = first.upstream.record().id.equals("m3") ? "m1" : "m3";
            upgradeAllButOne(former);
            first.head(200, Names.VERSIONS, "1");
            first.event(1);
            first.broken();
            assertEquals(former, links.last().upstream.record().id);
            assertEquals("1", links.last().header(Names.EXPECT_VERSION));
            assertEquals("1", links.last().header(Names.LAST_EVENT));
            links.last().head(200, Names.VERSIONS, "1");
            links.last().event(2);
            links.last().end();
        }
    }

    @Test
    void anAnswerGoesOnWithOtherWeightsBeforeItIsDropped() {
        ScriptedClient client = request("/s/1");
        Sent first = links.last();
        upgradeAllButOne("none");
        first.head(200, Names.VERSIONS, "1");
        first.event(1);
        first.broken();
        assertNull(links.last().header(Names.EXPECT_VERSION));
        links.last().head(200, Names.VERSIONS, "2");
        links.last().event(2);
        links.last().end();
        assertTrue(client.ended);
    }

    @Test
    void anUpstreamThatWasUpgradedMeanwhileIsNotTakenForGone() {
        request("/s/1");
        Sent first = links.last();
        upgradeAllButOne(first.upstream.record().id.equals("m3") ? "m1" : "m3");
        first.head(200, Names.VERSIONS, "1");
        first.event(1);
        first.broken();
        links.last().head(421);
        assertEquals(3, router.directory().ready("m").size());
    }

    @Test
    void aStreamThatMayNotBeResumedIsBrokenOffWithItsUpstream() {
        ScriptedClient client = request("/n/1");
        links.last().head(200);
        links.last().event(1);
        links.last().broken();
        assertEquals(1, links.sent.size());
        assertTrue(client.aborted);
        assertFalse(client.ended);
    }

    @Test
    void aRequestThatMayHaveRunIsNotRepeatedUnlessItMay() {
        ScriptedClient unsafe = request("/u/1");
        links.last().broken();
        assertEquals(1, links.sent.size());
        assertEquals(502, unsafe.status);
        ScriptedClient safe = request("/i/1");
        links.last().broken();
        assertEquals(3, links.sent.size());
        links.last().head(200);
        links.last().bytes("ok");
        links.last().end();
        assertEquals(200, safe.status);
        assertEquals("ok", safe.body.toString());
    }

    @Test
    void aRejectionIsRepeatedElsewhereAndElseARefusal() {
        ScriptedClient client = request("/u/1");
        links.last().reject();
        assertEquals(2, links.sent.size());
        links.last().reject();
        assertEquals(2, links.sent.size());
        assertEquals(503, client.status);
        assertNotNull(client.headers.get(Names.RETRY_AFTER));
    }

    @Test
    void afterARunThatBrokeARejectionIsNoPromise() {
        ScriptedClient client = request("/i/1");
        links.last().broken();
        links.last().reject();
        assertEquals(502, client.status);
    }

    @Test
    void anIncarnationThatIsNotAtItsAddressIsForgotten() {
        ScriptedClient client = request("/u/1");
        Sent first = links.last();
        first.head(421, Names.SIGNATURE, "", "Myrtleladder-Upstream-Id", "i-other");
        assertFalse(router.directory().ready("p").contains(first.upstream));
        links.last().head(200);
        links.last().end();
        assertEquals(200, client.status);
    }

    @Test
    void anAnswerToAnotherRequestIsNotPassedOn() {
        ScriptedClient client = request("/u/1");
        links.last().head(200, Names.ATTEMPT, "someone-else");
        assertTrue(links.last().closed);
        assertEquals(502, client.status);
        assertEquals("", client.body.toString());
    }

    @Test
    void anAnswerWithoutSignatureIsNoSuccess() {
        ScriptedClient client = request("/u/1");
        Sent sent = links.last();
        sent.user.head(
                new myrtleladder.io.ResponseHead(
                        200, new myrtleladder.io.Headers().add(Names.ATTEMPT, "a1"), true));
        assertEquals(502, client.status);
    }

    @Test
    void aFailureKeepsItsStatusWithItsSignature() {
        ScriptedClient client = request("/u/1");
        links.last().head(500);
        links.last().bytes("why");
        links.last().end();
        assertEquals(500, client.status);
        assertEquals("sig", client.headers.get(Names.SIGNATURE));
    }

    @Test
    void withoutAConnectionNothingWasSentAndItIsARefusal() {
        links.refuses = true;
        ScriptedClient client = request("/u/1");
        assertEquals(0, links.sent.size());
        assertEquals(503, client.status);
    }

    @Test
    void aConnectionThatDoesNotComeUpIsGivenUpForAnother() {
        links.dark = true;
        ScriptedClient client = request("/u/1");
        clock.run(400);
        assertEquals(0, client.answers);
        links.dark = false;
        clock.run(200);
        assertEquals(1, links.sent.size());
        links.last().head(200);
        links.last().end();
        assertEquals(200, client.status);
    }

    @Test
    void theDeadlineEndsARequestAtOnce() {
        assertEndsInTime("300", "300", 320);
    }

    private void assertEndsInTime(String told, String handedOn, long within) {
        ScriptedClient client = request("/u/1", Names.DEADLINE, told);
        assertEquals(handedOn, links.last().header(Names.DEADLINE));
        clock.run(within);
        assertEquals(504, client.status);
        assertTrue(links.last().closed);
    }

    @Test
    void aSilentUpstreamIsLeftForAnotherIfTheRequestMayBeRepeated() {
        ScriptedClient repeatable = request("/s/1");
        Sent silent = links.last();
        clock.run(900);
        assertEquals(2, links.sent.size());
        assertTrue(silent.closed);
        links.last().head(200);
        links.last().event(1);
        links.last().end();
        assertTrue(repeatable.ended);
        request("/n/1");
        clock.run(900);
        assertEquals(3, links.sent.size());
    }

    @Test
    void aClientThatLeavesEndsItsAttempt() {
        ScriptedClient client = request("/s/1");
        client.leave();
        assertTrue(links.last().closed);
        assertEquals(0, client.answers);
        assertEquals(0, router.underWay());
    }

    @Test
    void aBalancerAboutToEndRefusesAtOnceAndFinishesWhatItHas() {
        ScriptedClient before = request("/s/1");
        Sent first = links.last();
        first.head(200);
        first.event(1);
        router.stopTaking();
        ScriptedClient late = request("/s/2");
        assertEquals(503, late.status);
        assertNotNull(late.headers.get(Names.RETRY_AFTER));
        assertEquals(1, links.sent.size());
        first.event(2);
        first.end();
        assertTrue(before.ended);
    }

    @Test
    void aDrainingUpstreamGetsNothingMoreAndNeverComesBack() {
        router.directory()
                .take(
                        List.of(record("p1", "p", Stage.DRAINING), record("p2", "p", Stage.GONE)),
                        false);
        router.directory().take(List.of(record("p1", "p", Stage.READY)), false);
        for (int i = 0; i < 5; i++) {
            request("/u/" + i);
            assertEquals("p3", links.last().upstream.record().id);
        }
    }

    @Test
    void aLostUpstreamIsLeftOutUnlessHalfOfTheServiceIsLost() {
        router.directory().take(List.of(record("p1", "p", Stage.LOST)), false);
        assertEquals(2, router.directory().ready("p").size());
        router.directory().take(List.of(record("p2", "p", Stage.LOST)), false);
        assertEquals(3, router.directory().ready("p").size());
        router.directory().take(List.of(record("p1", "p", Stage.READY)), false);
        assertEquals(2, router.directory().ready("p").size());
    }

    @Test
    void requestsOfOneSubjectMeetAtOneUpstream() {
        for (int i = 0; i < 10; i++) {
            request("/s/" + i, Names.PREFIX, "5c1e07a2:8000,b" + i + ":50", Names.USAGE, "8050,10");
            links.last().head(200);
            links.last().event(1);
            links.last().end();
        }
        assertEquals(1, links.sent.stream().map(s -> s.upstream).distinct().count());
    }

    @Test
    void whatCannotBeginInTimeIsRefusedAtOnce() {
        int refused = 0;
        for (int i = 0; i < 40; i++) {
            ScriptedClient client =
                    request("/s/" + i, Names.PREFIX, "c" + i + ":20000", Names.USAGE, "20000,10");
            refused += client.status == 503 ? 1 : 0;
        }
        assertTrue(refused > 0 && refused < 40, "refused " + refused);
    }

    @Test
    void whatNamesTheModelReachesTheUpstreamAsTheClientWroteIt() {
        String prefix = "5C1e07a2:800, 91bd3f06:410,e4402b7d:250";
        request("/s/1", MODEL, "m;x=1", Names.USAGE, "1460, 80", Names.PREFIX, prefix);
        assertEquals("m;x=1", links.last().header(MODEL));
        assertEquals("1460, 80", links.last().header(Names.USAGE));
        assertEquals(prefix, links.last().header(Names.PREFIX));
    }

    @Test
    void aRepeatIsHandedWhatIsLeftOfTheTime() {
        request("/s/1", Names.DEADLINE, "6000");
        assertEquals("6000", links.last().header(Names.DEADLINE));
        clock.run(700);
        links.last().broken();
        assertEquals(2, links.sent.size());
        assertEquals("5300", links.last().header(Names.DEADLINE));
    }

    @Test
    void theTimeOfTheRouteEndsARequestWhoseClientWouldWaitLonger() {
        assertEndsInTime("9000", "1000", 1_010);
    }

    @Test
    void aClientThatLeavesWhileItsConnectionIsOpenedSendsNothingLater() {
        links.dark = true;
        ScriptedClient client = request("/i/1");
        client.leave();
        links.dark = false;
        clock.run(2_000);
        assertEquals(0, links.sent.size());
        assertEquals(0, router.underWay());
    }

    @Test
    void withoutAConfigurationARequestIsToldToComeBack() {
        Router empty =
                new Router(
                        clock,
                        links,
                        new RetryBudget(0.2, 100),
                        (ask, timeout, answer) -> answer.accept(grant),
                        1);
        ScriptedClient client = new ScriptedClient("/s/1");
        empty.handle(client);
        assertEquals(503, client.status);
        assertNotNull(client.headers.get(Names.RETRY_AFTER));
    }

    @Test
    void theServicesOfASplitGetTheirWeights() {
        int second = 0;
        for (int i = 0; i < 300; i++) {
            assertEquals(0, request("/w/1").status);
            second += links.last().upstream.record().service.equals("q") ? 1 : 0;
            links.last().head(200);
            links.last().end();
        }
        assertTrue(second >= 15 && second <= 45, "of 300 one in ten got " + second);
    }
}
