package myrtleladder.loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import myrtleladder.loadbalancer.server.RawSockets.Client;
import myrtleladder.loadbalancer.server.RawSockets.Message;
import myrtleladder.loadbalancer.server.RawSockets.Script;
import myrtleladder.loadbalancer.server.RawSockets.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests and connections during a graceful shutdown. */
class GracefulShutdownTest extends LoadBalancerFixture {
    @Test
    void allRequestsReceivedAreAnsweredAndNewOnesAcceptedForAWhile() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        Script gated =
                (m, s) -> {
                    go.await();
                    SERVE.on(m, s);
                };
        start(server(gated), server(gated));
        Client unused = client();
        Client inWork = client().write(submit());
        Future<Void> drained = balancer.drain(1_000, 60_000);
        Client late = client().write(submit());
        assertNull(unused.read(), "closed between requests");
        assertFalse(drained.isDone());
        go.countDown();
        for (Client c : List.of(inWork, late)) {
            Message answer = c.read();
            assertEquals(200, answer.status());
            assertEquals("close", answer.headers().get("connection"));
            assertNull(c.read());
        }
        assertTrue(drained.await(RawSockets.TIMEOUT_S, TimeUnit.SECONDS));
    }

    /**
     * Guards against closing connections with each response while the only balancer still accepts:
     * its clients have no other balancer.
     */
    @Test
    void keptConnectionsAreServedAsLongAsItAccepts() throws Exception {
        start(server(SERVE));
        Client client = client();
        assertEquals(200, client.write(submit()).read().status());
        balancer.drain(60_000, 90_000);
        String health = "GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n";
        assertEquals(503, client.write(health).read().status());
        assertEquals(200, client.write(submit()).read().status());
        assertNull(client.write(submit()).read().headers().get("connection"));
    }

    /**
     * The shutdown period is shorter than some deadlines; requests unanswered at the end of the
     * process are lost.
     */
    @Test
    void requestsStillOpenAtTheEndFail() throws Exception {
        CountDownLatch taken = new CountDownLatch(1);
        Script hang = (m, s) -> taken.countDown();
        Server one = server(hang);
        Server two = server(hang);
        start(one, two);
        Client client = client().write(request("GET", "look", "600000", ""));
        assertTrue(taken.await(RawSockets.TIMEOUT_S, TimeUnit.SECONDS));
        Future<Void> drained = balancer.drain(1, 100);
        assertTrue(client.read().status() >= 500);
        assertTrue(drained.await(RawSockets.TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(1, one.requests.size() + two.requests.size());
    }

    /**
     * If the event loop lags, requests that arrive after the last responses would be unanswered
     * when the process ends.
     */
    @Test
    void requestsAfterTheLastResponsesAreRejectedAtOnce() throws Exception {
        CountDownLatch taken = new CountDownLatch(1);
        Server upstream = server((m, s) -> taken.countDown());
        start(upstream);
        Client idle = client();
        Client inWork = client().write(submit());
        assertTrue(taken.await(RawSockets.TIMEOUT_S, TimeUnit.SECONDS));
        balancer.drain(60_000, 1);
        assertTrue(inWork.read().status() >= 500);
        Message answer = idle.write(submit()).read();
        assertEquals(503, answer.status());
        assertEquals("close", answer.headers().get("connection"));
        assertEquals(1, upstream.requests.size());
    }

    /** Times in ms: SIGKILL comes 700 and the longest deadline, at most 3,000, after SIGTERM. */
    @ParameterizedTest
    @CsvSource({
        "5000, 1, 2900, 3400",
        "5000, 6, 1900, 3400",
        "1500, 1, 1400, 1900",
        "1500, 100, 500, 1900"
    })
    void balancerInAGroupStopsAcceptingEarlier(
            long deadline, int groupSize, long accepts, long answers) {
        ShutdownSchedule schedule = ShutdownSchedule.of(deadline, groupSize);
        assertEquals(accepts, schedule.acceptMs());
        assertEquals(answers, schedule.lastResponseMs());
    }
}
