package myrtleladder.loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Future;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import myrtleladder.loadbalancer.server.RawSockets.Client;
import myrtleladder.loadbalancer.server.RawSockets.Message;
import myrtleladder.loadbalancer.server.RawSockets.Server;
import org.junit.jupiter.api.Test;

/** Client disconnects, pipelined requests and closes by the balancer, each in the worst order. */
class ClientSessionTest extends LoadBalancerFixture {
    private static final String FOR_EVER = "600000";
    private static final int MANY = 600;

    /** Longer than the time within which an attempt could begin after its client disconnected. */
    private static final long STALL_MS = 200;

    private static final int TURNS = 5;
    private static final int SMALL_BUFFER = 4_096;

    private String look(String left) {
        return request("GET", "look", left, "");
    }

    /**
     * The request and the disconnect are read in one loop iteration. Guards against sending the
     * request before the disconnect is noticed.
     */
    @Test
    void requestWhoseClientHasDisconnectedBehindItIsNotSent() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        assertEquals(200, client().write(look(FOR_EVER)).read().status());
        Client leaver = client();
        Client other = client();
        whileLoopIsStalled(
                () -> {
                    leaver.write(look(FOR_EVER));
                    leaver.close();
                    other.write(look(FOR_EVER));
                    spin(STALL_MS);
                });
        assertEquals(200, other.read().status());
        assertEquals(2, attempts());
        assertEquals("id-0", RawSockets.next(upstream.requests).headers().get("x-correlation-id"));
        assertEquals("id-2", RawSockets.next(upstream.requests).headers().get("x-correlation-id"));
    }

    /** Returns the number of ended attempts, excluding those that were never sent. */
    private long attempts() throws Exception {
        Map<String, Long> byOutcome = balancer.status().get().attempts();
        return byOutcome.values().stream().mapToLong(n -> n).sum() - byOutcome.get("moot");
    }

    /**
     * A new list releases queued requests. The disconnect of one client is read in the same loop
     * iteration, after the list.
     */
    @Test
    void queuedRequestIsNotSentWhenItsClientDisconnectsInTheTurnOfTheList() throws Exception {
        Server upstream = server(SERVE);
        CountDownLatch told = new CountDownLatch(1);
        CountDownLatch written = new CountDownLatch(1);
        Server discovery =
                server(
                        (m, s) -> {
                            RawSockets.startChunkedResponse(s);
                            told.await();
                            RawSockets.sendChunk(s, readyListJson(upstream));
                            written.countDown();
                        });
        start(listJson(0, true), discovery);
        Client leaver = client().write(look(FOR_EVER));
        RawSockets.next(discovery.requests);
        while (balancer.status().get().openRequests() == 0) {
            Thread.onSpinWait();
        }
        Client other = client();
        whileLoopIsStalled(
                () -> {
                    told.countDown();
                    written.await(); // so the client's end comes behind the list
                    leaver.close();
                    other.write(look(FOR_EVER));
                });
        assertEquals(200, other.read().status());
        assertEquals(1, attempts());
        assertEquals("id-1", RawSockets.next(upstream.requests).headers().get("x-correlation-id"));
    }

    /** Guards against not reading a connection with eight queued requests, as its end is missed. */
    @Test
    void disconnectIsSeenBehindManyPipelinedRequests() throws Exception {
        Server upstream = server(HANG);
        start(upstream);
        Client client = client();
        StringBuilder many = new StringBuilder();
        for (int i = 0; i < 30; i++) {
            many.append(look(FOR_EVER));
        }
        client.write(many.toString());
        RawSockets.next(upstream.requests);
        client.close();
        assertEquals(0, RawSockets.next(upstream.ended), "the attempt is given up");
        assertEquals(0, upstream.requests.size());
    }

    /**
     * Guards against starting the time of a pipelined request only when it is processed, after its
     * client has given up.
     */
    @Test
    void timeOfAPipelinedRequestCountsWhileItWaits() throws Exception {
        Server upstream = server(HANG);
        start(upstream);
        Client client = client().write(request("POST", "submit", "500", "") + look("400"));
        assertTrue(client.read().status() >= 500);
        assertTrue(client.read().status() >= 500);
        assertEquals("id-0", RawSockets.next(upstream.requests).headers().get("x-correlation-id"));
        assertEquals(0, upstream.requests.size());
    }

    /**
     * Guards against closing the connection after the first response of a graceful shutdown, while
     * further pipelined requests are queued.
     */
    @Test
    void gracefulShutdownAnswersPipelinedRequestsBeforeItClosesTheirConnection() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        Server upstream =
                server(
                        (m, s) -> {
                            go.await();
                            SERVE.on(m, s);
                        });
        start(upstream);
        Client client = client().write(look(FOR_EVER) + look(FOR_EVER) + look(FOR_EVER));
        RawSockets.next(upstream.requests);
        Client idle = client();
        Future<Void> drained = balancer.drain(1, 600_000);
        assertNull(idle.read(), "closed between requests");
        go.countDown();
        for (int i = 0; i < 3; i++) {
            Message answer = client.read();
            assertEquals(200, answer.status());
            assertEquals(i == 2 ? "close" : null, answer.headers().get("connection"));
        }
        assertNull(client.read());
        assertTrue(drained.await(RawSockets.TIMEOUT_S, TimeUnit.SECONDS));
    }

    /**
     * Closing a connection with unread bytes resets it, so that the client loses the rest of a
     * response.
     */
    @Test
    void responseIsCompleteThoughItsConnectionClosesOverUnreadBytes() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        String large = "x".repeat(60_000);
        Server upstream =
                server(
                        (m, s) -> {
                            go.await();
                            RawSockets.respond(s, "200 OK", "", large);
                        });
        start(upstream);
        try (Socket slow = new Socket()) {
            slow.setReceiveBufferSize(SMALL_BUFFER);
            slow.connect(balancer.address());
            StringBuilder many =
                    new StringBuilder(request("GET", "look", FOR_EVER, "Connection: close\r\n"));
            for (int i = 0; i < MANY; i++) {
                many.append(look(FOR_EVER));
            }
            slow.getOutputStream().write(many.toString().getBytes(StandardCharsets.UTF_8));
            RawSockets.next(upstream.requests);
            go.countDown();
            awaitIdle();
            slow.setSoTimeout(RawSockets.TIMEOUT_S * 1_000);
            Message answer = RawSockets.read(slow.getInputStream());
            assertEquals(large.length(), answer.body().length());
            assertEquals(-1, slow.getInputStream().read(), "an orderly end");
        }
    }

    /**
     * A request read after the balancer has shut down its output is neither forwarded nor answered;
     * its client retries it.
     */
    @Test
    void requestThatCrossesWithOurCloseIsNotForwarded() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        Client client = client();
        assertEquals(200, client.write(look(FOR_EVER)).read().status());
        RawSockets.next(upstream.requests);
        awaitIdle();
        LoopStall stall = stallBeforeDrain();
        client.write(look(FOR_EVER));
        stall.resume();
        assertNull(client.read());
        assertEquals(0, upstream.requests.size());
    }

    private void awaitIdle() throws Exception {
        while (balancer.status().get().openRequests() > 0) {
            Thread.onSpinWait();
        }
        // The session becomes idle one task after its response, and a socket is closed one loop
        // iteration after its channel.
        for (int i = 0; i < TURNS; i++) {
            eventLoops.next().submit(() -> {}).get();
        }
    }

    /** Guards against buffering all responses for a client that does not read them. */
    @Test
    void clientThatReadsNoResponsesGetsNoMoreOfThemUntilItDoes() throws Exception {
        String large = "x".repeat(60_000);
        Server upstream = server((m, s) -> RawSockets.respond(s, "200 OK", "", large));
        start(upstream);
        Client lazy = client();
        StringBuilder many = new StringBuilder();
        for (int i = 0; i < MANY; i++) {
            many.append(look(FOR_EVER));
        }
        Thread writer =
                new Thread(
                        () -> {
                            try {
                                lazy.write(many.toString());
                            } catch (java.io.IOException e) {
                                // the test detects missing responses
                            }
                        });
        writer.start();
        Client other = client();
        int before;
        do {
            before = upstream.requests.size();
            for (int i = 0; i < 20; i++) {
                assertEquals(200, other.write(look(FOR_EVER)).read().status());
            }
        } while (before == 0 || upstream.requests.size() - before > 20);
        int begun = upstream.requests.size();
        assertTrue(begun < MANY, () -> begun + " requests were begun");
        for (int i = 0; i < MANY; i++) {
            assertEquals(200, lazy.read().status());
        }
        writer.join();
    }
}
