package myrtleladder.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import myrtleladder.configuration.Compression;
import myrtleladder.heartbeat.HeartbeatAgent;
import myrtleladder.protocol.Message;
import myrtleladder.protocol.PollRequest;
import myrtleladder.protocol.PollResponse;
import myrtleladder.replication.ManualScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Which control node a balancer asks, and what it takes from whom. */
class ControlPollerTest {
    private final ManualScheduler clock = new ManualScheduler();
    private final List<String> asked = new ArrayList<>();
    private final List<PollRequest> polls = new ArrayList<>();
    private Consumer<Message> answer;
    private Router router;
    private ControlPoller poller;

    @BeforeEach
    void start() {
        router =
                new Router(
                        clock,
                        new ScriptedLinks(),
                        new RetryBudget(0.2, 10),
                        (ask, timeout, to) -> to.accept(null),
                        1);
        HeartbeatAgent agent = new HeartbeatAgent(clock, (to, message, timeout, back) -> {}, "e");
        poller =
                new ControlPoller(
                        clock,
                        (to, message, timeout, back) -> {
                            asked.add(to);
                            polls.add((PollRequest) message);
                            answer = back;
                        },
                        router,
                        "e",
                        "e:1",
                        agent,
                        () -> List.of("a:1", "b:1", "c:1"));
        poller.start();
    }

    private static PollResponse reply(long epoch, long generation) {
        PollResponse reply = new PollResponse();
        reply.valid = true;
        reply.epoch = epoch;
        reply.generation = generation;
        reply.document =
                generation == 0
                        ? new byte[0]
                        : Compression.deflate(
                                ("{\"generation\":" + generation + "}")
                                        .getBytes(StandardCharsets.UTF_8));
        reply.primary = "a:1";
        reply.members = List.of("a:1", "b:1", "c:1");
        return reply;
    }

    private String last() {
        return asked.get(asked.size() - 1);
    }

    @Test
    void itIsReadyOnceAConfigurationIsInForce() {
        assertFalse(poller.ready());
        answer.accept(reply(3, 0));
        assertFalse(poller.ready());
        answer.accept(reply(3, 7));
        assertTrue(poller.ready());
        assertEquals(7, router.configuration().generation());
        assertEquals(7, polls.get(polls.size() - 1).generation);
    }

    @Test
    void nothingOfALowerEpochOrAnOlderGenerationIsTaken() {
        answer.accept(reply(3, 7));
        answer.accept(reply(2, 9));
        assertEquals(7, router.configuration().generation());
        clock.run(100);
        answer.accept(reply(4, 5));
        assertEquals(7, router.configuration().generation());
    }

    @Test
    void aSilentNodeIsAvoidedButOneThatRefusesIsAskedAgain() {
        assertEquals("a:1", last());
        answer.accept(null);
        clock.run(60);
        assertEquals("b:1", last());
        clock.run(700);
        answer.accept(null);
        clock.run(60);
        assertEquals("c:1", last());
        answer.accept(null);
        clock.run(60);
        assertEquals("a:1", last());
        answer.accept(null);
        clock.run(60);
        assertEquals("c:1", last());
        clock.run(1_500);
        answer.accept(null);
        clock.run(60);
        assertTrue(List.of("a:1", "b:1").contains(last()));
    }

    private static PollResponse names(String primary, long epoch) {
        PollResponse reply = new PollResponse();
        reply.primary = primary;
        reply.epoch = epoch;
        return reply;
    }

    private void isSilent() {
        clock.run(750);
        answer.accept(null);
        clock.run(60);
    }

    @Test
    void aNodeThatWasSilentIsAskedOnceItIsNamedPrimaryOfALaterEpoch() {
        assertEquals("a:1", last());
        isSilent(); // its machine was about to start
        assertEquals("b:1", last());
        answer.accept(names("a:1", 4));
        clock.run(60);
        assertEquals("a:1", last());
    }

    @Test
    void aDeadPrimaryIsNotAskedOnTheWordOfThoseWhoKnowNoLaterEpoch() {
        answer.accept(reply(3, 7));
        assertEquals("a:1", last());
        isSilent();
        answer.accept(names("a:1", 3));
        clock.run(60);
        assertEquals("c:1", last());
    }

    @Test
    void aDeadPrimaryCostsABalancerThatJustStartedTwoCallsAtMost() {
        isSilent();
        answer.accept(names("a:1", 4));
        clock.run(60);
        assertEquals("a:1", last());
        isSilent();
        answer.accept(names("a:1", 4));
        clock.run(60);
        assertTrue(List.of("b:1", "c:1").contains(last()));
    }

    @Test
    void aBackupsWordLeadsToThePrimary() {
        PollResponse other = new PollResponse();
        other.primary = "c:1";
        answer.accept(other);
        clock.run(60);
        assertEquals("c:1", last());
    }
}
