package myrtleladder.loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import myrtleladder.loadbalancer.server.RawSockets.Client;
import myrtleladder.loadbalancer.server.RawSockets.Message;
import myrtleladder.loadbalancer.server.RawSockets.Server;
import org.junit.jupiter.api.Test;

/**
 * Changes between the decision to send an attempt and its first byte: the remaining time, the
 * client's connection and the upstream.
 */
class AttemptTimingTest extends LoadBalancerFixture {
    private static final long STALL_MS = 700;
    private static final long PAST_MEMORY_SPAN_MS = 2_100;

    /**
     * Stalls the loop while the connection of an attempt is being established, for longer than some
     * limits.
     */
    private void stallWhileConnecting(Server upstream, Client client, String request)
            throws Exception {
        LoopStall stall = stallAfterPickOf(upstream);
        client.write(request);
        stall.await();
        spin(STALL_MS);
        stall.resume();
    }

    /**
     * Guards against a header with the time left at the decision, with which upstreams continued
     * after the client's deadline.
     */
    @Test
    void attemptStatesTheTimeLeftWhenItBegins() throws Exception {
        Server upstream = server(SERVE);
        configFile.connectTimeoutS("5");
        start(upstream);
        Client client = client();
        stallWhileConnecting(upstream, client, request("POST", "submit", "9000", ""));
        assertEquals(200, client.read().status());
        long left =
                Long.parseLong(RawSockets.next(upstream.requests).headers().get("x-time-left-ms"));
        assertTrue(left <= 9_000 - STALL_MS, () -> "told that " + left + " ms are left");
    }

    /**
     * Guards against a retry that is decided in time but reaches its upstream after the upstream
     * has forgotten the idempotency key.
     */
    @Test
    void retryWhoseConnectionComesUpTooLateIsNotSent() throws Exception {
        CountDownLatch decided = new CountDownLatch(1);
        Server first =
                server(
                        (m, s) -> {
                            decided.await();
                            RawSockets.respond(s, "500 Oops", "", "");
                        });
        Server second = server(SERVE);
        configFile.memorySpanS("2");
        configFile.connectTimeoutS("5");
        start(first);
        Client client = client().write(request("POST", "revise", "9000", "Idempotency-Key: k\r\n"));
        RawSockets.next(first.requests);
        // From here on only the second upstream accepts requests.
        String firstId = "s-" + first.address();
        String secondId = "s-" + second.address();
        sendChanges(
                endpointJson(firstId, first.address(), "Terminating"),
                endpointJson(secondId, second.address(), "Ready"));
        LoopStall stall = stallAfterPickOf(second);
        decided.countDown();
        stall.await();
        spin(PAST_MEMORY_SPAN_MS);
        stall.resume();
        Message answer = client.read();
        assertTrue(answer.status() >= 500, answer.start());
        assertEquals(0, second.requests.size());
    }

    /** The client's disconnect and the new connection are read in the same loop iteration. */
    @Test
    void attemptWhoseClientDisconnectedWhileConnectingIsNotSent() throws Exception {
        Server upstream = server(SERVE);
        configFile.connectTimeoutS("5");
        start(upstream);
        Client leaver = client();
        LoopStall stall = stallAfterPickOf(upstream);
        leaver.write(request("GET", "look", "9000", ""));
        stall.await();
        leaver.close();
        stall.resume();
        assertEquals(200, client().write(request("GET", "look", "9000", "")).read().status());
        assertEquals("id-1", RawSockets.next(upstream.requests).headers().get("x-correlation-id"));
        assertEquals(0, upstream.requests.size());
    }

    /** Guards against reusing a connection to the old process, which reset the next request. */
    @Test
    void connectionToTheProcessBeforeARestartIsNotKept() throws Exception {
        CountDownLatch restarted = new CountDownLatch(1);
        Server upstream =
                server(
                        (m, s) -> {
                            restarted.await();
                            SERVE.on(m, s);
                        });
        start(upstream);
        Client client = client().write(submit());
        RawSockets.next(upstream.requests);
        String id = "s-" + upstream.address();
        sendChanges(
                endpointJson(id, upstream.address(), "Ready")
                        .replace("\"started_ms\":0", "\"started_ms\":1000"));
        restarted.countDown();
        assertEquals(200, client.read().status());
        assertEquals(200, client.write(submit()).read().status());
        assertEquals(2, upstream.accepted.size());
    }
}
