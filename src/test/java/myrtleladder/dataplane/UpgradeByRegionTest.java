package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import myrtleladder.configuration.Configuration;
import myrtleladder.configuration.Json;
import myrtleladder.dataplane.ScriptedLinks.Sent;
import myrtleladder.protocol.InstanceRecord;
import myrtleladder.protocol.InstanceRecord.Stage;
import myrtleladder.protocol.QuotaResponse;
import myrtleladder.replication.ManualScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The model is upgraded zone by zone while replies are under way at several balancers: each reply
 * ends where it began, and requests of a session meet at one upstream before and after.
 */
class UpgradeByRegionTest {
    private static final int BALANCERS = 4;
    private static final int ZONES = 3;
    private static final int IN_ZONE = 3;
    private static final int SESSIONS = 30;
    private static final long STEP = 400;
    private static final long READING = 150;
    private static final String DOCUMENT =
            ("{'generation':1,'routes':["
                            + "{'name':'s','hostname':'h.example','path_prefix':'/s/',"
                            + "'type':'streaming','timeout_ms':60000,'target_latency_ms':600,"
                            + "'backend':'m','retries':2,'resumable':true,'gap_aim_ms':400},"
                            + "{'name':'c','hostname':'h.example','path_prefix':'/c/',"
                            + "'type':'non_idempotent','timeout_ms':60000,'backend':'p',"
                            + "'retries':2}],"
                            + "'services':[{'name':'m','engine':{'capacity':64,"
                            + "'kv_tokens':5000000,'stride':5}},{'name':'p'}]}")
                    .replace('\'', '"');

    private final ManualScheduler clock = new ManualScheduler();
    private final List<ScriptedLinks> links = new ArrayList<>();
    private final List<Router> routers = new ArrayList<>();
    private final List<Reply> replies = new ArrayList<>();
    private final Map<String, InstanceRecord> records = new HashMap<>();
    private int attempts;
    private long lastEvent = 1;

    /** A reply under way, with the sends that were made for it. */
    private record Reply(ScriptedClient client, Sent sent) {}

    @BeforeEach
    void start() {
        for (int i = 0; i < BALANCERS; i++) {
            ScriptedLinks own = new ScriptedLinks();
            Router router =
                    new Router(
                            clock,
                            own,
                            new RetryBudget(0.2, 100),
                            (ask, timeout, answer) -> answer.accept(QuotaResponse.of(true, 1e9, 0)),
                            i);
            router.use(
                    Configuration.read(Json.readObject(DOCUMENT.getBytes(StandardCharsets.UTF_8))));
            links.add(own);
            routers.add(router);
        }
        for (int i = 0; i < ZONES * IN_ZONE; i++) {
            note("old" + i, "m", i / IN_ZONE, Stage.READY, i + 1);
        }
        note("cert0", "p", 0, Stage.READY, 1);
        note("cert1", "p", 1, Stage.READY, 2);
        for (Router router : routers) {
            router.directory().take(records.values(), true);
            router.start();
        }
    }

    private void note(String id, String service, int zone, Stage stage, int ordinal) {
        records.put(
                id,
                InstanceRecord.of(id, service, "10.0.0.1:80", "z" + zone, 64, "v1", stage, 1)
                        .withOrdinal(ordinal));
    }

    private void tell(String id, String service, int zone, Stage stage, int ordinal) {
        note(id, service, zone, stage, ordinal);
        routers.forEach(r -> r.directory().take(List.of(records.get(id)), false));
        goOn();
        clock.run(STEP);
    }

    private Sent send(int balancer, String path, String... fields) {
        String[] all = new String[fields.length + 4];
        all[0] = Names.ATTEMPT;
        all[1] = "a" + attempts++;
        all[2] = Names.DEADLINE;
        all[3] = "60000";
        System.arraycopy(fields, 0, all, 4, fields.length);
        ScriptedClient client = new ScriptedClient(path, all);
        int before = links.get(balancer).sent.size();
        routers.get(balancer).handle(client);
        assertEquals(before + 1, links.get(balancer).sent.size(), "sent once");
        Sent sent = links.get(balancer).last();
        replies.add(new Reply(client, sent));
        return sent;
    }

    /** A request of a session, whose reply begins and stays under way. */
    private Sent ask(int balancer, int session) {
        Sent sent =
                send(
                        balancer,
                        "/s/" + session,
                        Names.PREFIX,
                        "5e55" + session + ":9000,b" + attempts + ":50",
                        Names.USAGE,
                        "9050,10");
        clock.run(READING);
        sent.head(200);
        sent.event(1);
        return sent;
    }

    private void goOn() {
        lastEvent++;
        for (Reply reply : replies) {
            if (!reply.client().ended && reply.client().head().path().startsWith("/s/")) {
                reply.sent().event(lastEvent);
            }
        }
    }

    private void finishAll() {
        for (Reply reply : replies) {
            if (!reply.client().ended) {
                reply.sent().end();
            }
        }
    }

    private Set<String> placesOf(int session) {
        Set<String> places = new HashSet<>();
        for (int balancer = 0; balancer < BALANCERS; balancer++) {
            places.add(ask(balancer, session).upstream.record().id);
        }
        return places;
    }

    private void upgradeOne(int number) {
        int zone = number / IN_ZONE;
        tell("new" + number, "m", zone, Stage.READY, InstanceRecord.UNASSIGNED_ORDINAL);
        tell("old" + number, "m", zone, Stage.DRAINING, number + 1);
        tell("new" + number, "m", zone, Stage.READY, number + 1);
        tell("old" + number, "m", zone, Stage.GONE, number + 1);
    }

    @Test
    void repliesUnderWayEndWhereTheyBeganThroughAnUpgradeOfEveryZone() {
        for (int session = 0; session < SESSIONS; session++) {
            ask(session % BALANCERS, session);
            goOn();
        }
        for (int request = 0; request < SESSIONS; request++) {
            send(request % BALANCERS, "/c/" + request);
        }
        int sent = links.stream().mapToInt(l -> l.sent.size()).sum();
        for (int number = 0; number < ZONES * IN_ZONE; number++) {
            upgradeOne(number);
        }
        int underWay = 0;
        for (Router router : routers) {
            underWay +=
                    router.directory().underWayAtLeaving().stream().mapToInt(u -> u.requests).sum();
        }
        assertEquals(SESSIONS, underWay, "all model replies are at upstreams that left");
        for (Reply reply : replies) {
            if (reply.client().head().path().startsWith("/c/")) {
                reply.sent().head(200);
                reply.sent().bytes("ok");
            }
        }
        finishAll();
        assertEquals(sent, links.stream().mapToInt(l -> l.sent.size()).sum(), "sent twice");
        for (Reply reply : replies) {
            assertFalse(reply.sent().closed, "dropped");
            assertTrue(reply.client().ended, "not whole");
            assertEquals(1, reply.client().answers);
            if (reply.client().head().path().startsWith("/s/")) {
                assertTrue(reply.client().body.toString().endsWith("data: x" + lastEvent + "\n\n"));
            }
        }
        routers.forEach(r -> assertTrue(r.directory().underWayAtLeaving().isEmpty()));
    }

    @Test
    void requestsOfASessionMeetAtTheOneThatTookOver() {
        Map<Integer, String> before = new HashMap<>();
        for (int session = 0; session < SESSIONS; session++) {
            Set<String> places = placesOf(session);
            assertEquals(1, places.size(), "balancers differ: " + places);
            before.put(session, places.iterator().next());
            finishAll();
        }
        for (int number = 0; number < ZONES * IN_ZONE; number++) {
            upgradeOne(number);
        }
        for (int session = 0; session < SESSIONS; session++) {
            Set<String> places = placesOf(session);
            finishAll();
            assertEquals(Set.of(before.get(session).replace("old", "new")), places);
        }
    }

    @Test
    void aNewUpstreamTakesNoSessionFromAnotherUntilItTakesOver() {
        Map<Integer, Set<String>> before = new HashMap<>();
        for (int session = 0; session < SESSIONS; session++) {
            before.put(session, placesOf(session));
            finishAll();
        }
        for (int i = 0; i < ZONES; i++) {
            tell("extra" + i, "m", i, Stage.READY, InstanceRecord.UNASSIGNED_ORDINAL);
        }
        for (int session = 0; session < SESSIONS; session++) {
            assertEquals(before.get(session), placesOf(session));
            finishAll();
        }
    }
}
