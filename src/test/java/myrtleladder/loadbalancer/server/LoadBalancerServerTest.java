package myrtleladder.loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Future;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import myrtleladder.error.OperatorError.BadList;
import myrtleladder.loadbalancer.policy.LogLines;
import myrtleladder.loadbalancer.server.RawSockets.Client;
import myrtleladder.loadbalancer.server.RawSockets.Message;
import myrtleladder.loadbalancer.server.RawSockets.Script;
import myrtleladder.loadbalancer.server.RawSockets.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The balancer between real sockets: each test is one way for it to lose, repeat or misplace a
 * request.
 */
class LoadBalancerServerTest extends LoadBalancerFixture {
    private static final long STAND_MS = 600;

    // ---- Serving
    // ---------------------------------------------------------------------------------------

    @Test
    void requestAndAnswerPassUnchanged() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        Message answer =
                client().write(
                                request(
                                        "POST",
                                        "revise",
                                        "9000",
                                        "Idempotency-Key: 5c0f\r\n"
                                                + "X-Facts: a=1\r\n"
                                                + "X-Weight-Hint: 900\r\n"))
                        .read();
        assertEquals(200, answer.status());
        assertEquals("done", answer.body());
        Message seen = RawSockets.next(upstream.requests);
        assertEquals("POST /revise?key=k1 HTTP/1.1", seen.start());
        assertEquals("bid", seen.body());
        assertEquals("id-0", seen.headers().get("x-correlation-id"));
        assertEquals("5c0f", seen.headers().get("idempotency-key"));
        assertTrue(Integer.parseInt(seen.headers().get("x-time-left-ms")) <= 9000);
    }

    @Test
    void connectionsAreKeptOnBothSides() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        Client client = client();
        assertEquals(200, client.write(submit()).read().status());
        assertEquals(200, client.write(submit()).read().status());
        assertEquals(1, upstream.accepted.size());
    }

    @Test
    void clientThatClosesItsConnectionLeavesTheUpstreamsOpen() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        for (int i = 0; i < 2; i++) {
            Client client =
                    client().write(request("POST", "submit", "9000", "Connection: close\r\n"));
            assertEquals(200, client.read().status());
            assertNull(client.read());
        }
        assertNull(RawSockets.next(upstream.requests).headers().get("connection"));
        assertEquals(1, upstream.accepted.size());
    }

    @Test
    void pipelinedRequestsAreAnsweredInTheirOrder() throws Exception {
        Server upstream =
                server(
                        (m, s) ->
                                RawSockets.answer(
                                        s, "200 OK", "", m.headers().get("x-correlation-id")));
        start(upstream);
        Client client = client().write(submit() + submit() + submit());
        for (int i = 0; i < 3; i++) {
            assertEquals("id-" + i, client.read().body());
        }
    }

    /**
     * A write to a connection that the upstream is just closing ends as a reset, and may have run.
     */
    @Test
    void idleConnectionsGoBeforeTheUpstreamWouldCloseThem() throws Exception {
        idle = "0.5";
        Server upstream = server(SERVE);
        start(upstream);
        assertEquals(200, client().write(submit()).read().status());
        assertEquals(0, RawSockets.next(upstream.ended));
    }

    /**
     * Reports are named as in the settings; read under other names they said nothing, and no one
     * saw it.
     */
    @Test
    void reportsToProbesSteerThePicks() throws Exception {
        reports = "pull";
        Server idler = server(reporting("active=0,cpu=0.0,new=1"));
        Server busy = server(reporting("active=1,cpu=1.0"));
        start(idler, busy);
        Client client = client();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(RawSockets.PATIENCE_S);
        for (int inARow = 0; inARow < 40; ) {
            assertTrue(System.nanoTime() < end, "the busy one is picked as before");
            String by = client.write(submit()).read().body();
            inARow = by.startsWith("active=0") ? inARow + 1 : 0;
        }
    }

    private static Script reporting(String load) {
        return (m, s) -> RawSockets.answer(s, "200 OK", "", load);
    }

    @Test
    void reportThatCannotBeReadIsIgnored() throws Exception {
        reports = "pull";
        Server upstream = server(reporting("cpu=much"));
        start(upstream);
        for (int i = 0; i < 3; i++) {
            assertEquals("GET /load HTTP/1.1", RawSockets.next(upstream.requests).start());
        }
        assertEquals(200, client().write(submit()).read().status());
    }

    // ---- No effect twice
    // -------------------------------------------------------------------------------

    /**
     * After its last byte was written an unsafe request may have run, whatever becomes of the
     * connection.
     */
    @Test
    void unsafeRequestIsNotSentAgainAfterAReset() throws Exception {
        Script reset = (m, s) -> RawSockets.reset(s);
        Server one = server(reset);
        Server two = server(reset);
        start(one, two);
        assertFailed(client().write(submit()).read());
        assertEquals(1, one.requests.size() + two.requests.size());
    }

    @ParameterizedTest
    @CsvSource({
        "500 Internal Server Error,''",
        "503 Service Unavailable,''",
        "504 Gateway Timeout,''",
        "503 Service Unavailable,X-Unprocessed: 0",
        "418 Teapot,X-Unprocessed: 1"
    })
    void unsafeRequestIsNotSentAgainAfterAnAnswerThatProvesNothing(String status, String header)
            throws Exception {
        Script error =
                (m, s) -> RawSockets.answer(s, status, header.isEmpty() ? "" : header + "\r\n", "");
        Server one = server(error);
        Server two = server(error);
        start(one, two);
        assertFailed(client().write(submit()).read());
        assertEquals(1, one.requests.size() + two.requests.size());
    }

    @Test
    void requestTurnedAwayUnseenIsSentAgain() throws Exception {
        AtomicInteger count = new AtomicInteger();
        Script once =
                (m, s) -> {
                    if (count.getAndIncrement() == 0) {
                        RawSockets.answer(s, "503 Service Unavailable", "X-Unprocessed: 1\r\n", "");
                    } else {
                        SERVE.on(m, s);
                    }
                };
        start(server(once), server(once));
        assertEquals(200, client().write(submit()).read().status());
        assertEquals(2, count.get());
    }

    @Test
    void refusedConnectionLeadsToAnotherUpstream() throws Exception {
        Server dead = server(SERVE);
        dead.close();
        Server alive = server(SERVE);
        start(dead, alive);
        Client client = client();
        for (int i = 0; i < 6; i++) {
            assertEquals(200, client.write(submit()).read().status());
        }
        assertEquals(6, alive.requests.size());
    }

    /**
     * Taken for the answer, an interim one left the true one to the next request on the connection.
     */
    @Test
    void interimAnswerIsNotTakenForTheFinalOne() throws Exception {
        Server upstream =
                server(
                        (m, s) -> {
                            s.getOutputStream()
                                    .write("HTTP/1.1 102 Processing\r\n\r\n".getBytes("UTF-8"));
                            RawSockets.answer(s, "200 OK", "", m.headers().get("x-correlation-id"));
                        });
        start(upstream);
        Client client = client();
        assertEquals("id-0", client.write(submit()).read().body());
        assertEquals("id-1", client.write(submit()).read().body());
        assertEquals(1, upstream.accepted.size());
    }

    /** Half an answer is none: the client would take it for what the upstream made. */
    @ParameterizedTest
    @CsvSource({
        "Content-Length: 10, false",
        "Transfer-Encoding: chunked, false",
        "X-No-Length: 1, true",
        "Content-Length: 10, true",
        "Transfer-Encoding: chunked, true"
    })
    void cutAnswerIsNotPassedOn(String framing, boolean reset) throws Exception {
        CountDownLatch written = new CountDownLatch(1);
        CountDownLatch read = new CountDownLatch(1);
        Server upstream =
                server(
                        (m, s) -> {
                            String half = "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n4\r\nha";
                            s.getOutputStream().write(half.getBytes("UTF-8"));
                            written.countDown();
                            read.await();
                            if (reset) {
                                RawSockets.reset(s);
                            }
                            s.close();
                        });
        start(upstream);
        Client client = client().write(submit());
        RawSockets.next(upstream.requests);
        written.await();
        // Another one's answer has come since, so what there is of this one has been read.
        assertEquals(400, client().write("GET /look HTTP/1.1\r\n\r\n").read().status());
        read.countDown();
        assertFailed(client.read());
        assertEquals(0, upstream.requests.size());
    }

    /**
     * An answer of no length is whole when its connection ends; taken for a cut one, it was lost.
     */
    @Test
    void answerThatTheEndOfItsConnectionEndsIsPassedOn() throws Exception {
        Server upstream =
                server(
                        (m, s) -> {
                            String answer = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it";
                            s.getOutputStream().write(answer.getBytes("UTF-8"));
                            s.close();
                        });
        start(upstream);
        for (int i = 0; i < 3; i++) {
            Message answer = client().write(submit()).read();
            assertEquals(200, answer.status());
            assertEquals("all of it", answer.body());
        }
        assertEquals(3, upstream.requests.size());
    }

    /**
     * What follows an answer unasked was taken for the answer to the next request on the
     * connection.
     */
    @Test
    void whatFollowsAnAnswerIsNotTakenForTheNextOne() throws Exception {
        AtomicInteger count = new AtomicInteger();
        Server upstream =
                server(
                        (m, s) -> {
                            boolean first = count.getAndIncrement() == 0;
                            String stray = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
                            RawSockets.answer(
                                    s,
                                    "200 OK",
                                    "",
                                    m.headers().get("x-correlation-id")
                                            + (first ? stray.substring(0, 30) : ""),
                                    4);
                            if (!first) {
                                s.getOutputStream().write(stray.substring(30).getBytes("UTF-8"));
                            }
                        });
        start(upstream);
        Client client = client();
        assertEquals("id-0", client.write(submit()).read().body());
        assertEquals("id-1", client.write(submit()).read().body());
    }

    /** What can't be read as the protocol has it was made by no upstream, and may have run. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK|no colon here|Content-Length: 4||done",
                "HTTP/1.1 200 OK|: nameless|Content-Length: 4||done",
                "HTTP/1.1 200 OK|Content-Length : 4||done",
                "HTTP/1.1 200 OK|nocolon|Content-Length: 4||done",
                "HTTP/1.1 2x0 OK|Content-Length: 4||done",
                "HTTP/1.1 OK 200|Content-Length: 4||done",
                "HTTP/1.1 200 OK|Content-Length: 3|Content-Length: 4||done",
                "HTTP/1.1 200 OK|Content-Length: -1|Content-Length: 4||done",
                "HTTP/1.1 200 OK|Content-Length: 4|Transfer-Encoding: chunked||4|done|0||",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||4|done|zz|done|0||",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||4|doneXX0||",
                "HTTP/1.1 200 OK|Content-Length: 3000000000||done"
            })
    void answerThatCannotBeReadIsNotPassedOn(String answer) throws Exception {
        Script broken =
                (m, s) -> s.getOutputStream().write(answer.replace("|", "\r\n").getBytes("UTF-8"));
        Server one = server(broken);
        Server two = server(broken);
        start(one, two);
        assertFailed(client().write(submit()).read());
        assertEquals(1, one.requests.size() + two.requests.size());
    }

    private static void assertFailed(Message answer) {
        assertTrue(answer.status() >= 500, answer.start());
        assertNotEquals(503, answer.status(), "a refusal says that trying again is harmless");
    }

    // ---- No request lost
    // -------------------------------------------------------------------------------

    @Test
    void silentUpstreamGetsItsClientAnAnswerByTheDeadline() throws Exception {
        Server upstream = server(HANG);
        start(upstream);
        assertFailed(client().write(request("POST", "submit", "300", "")).read());
        assertEquals(0, RawSockets.next(upstream.ended), "the attempt is given up");
    }

    /**
     * The loop stands still, as behind a long collection; what came meanwhile has less time left.
     */
    @Test
    void timeThatARequestWaitedUnreadIsTakenFromItsTime() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        Client client = client();
        assertEquals(200, client.write(submit()).read().status());
        RawSockets.next(upstream.requests);
        CountDownLatch stands = new CountDownLatch(1);
        CountDownLatch goesOn = new CountDownLatch(1);
        var loop = group.next();
        loop.execute(
                () -> {
                    stands.countDown();
                    for (long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STAND_MS);
                            System.nanoTime() < end || goesOn.getCount() > 0; ) {
                        Thread.onSpinWait();
                    }
                });
        stands.await();
        client.write(request("POST", "submit", "9000", ""));
        goesOn.countDown();
        assertEquals(200, client.read().status());
        long left =
                Long.parseLong(RawSockets.next(upstream.requests).headers().get("x-time-left-ms"));
        assertTrue(left < 9_000 - STAND_MS / 2, () -> "told that " + left + " ms are left");
    }

    @Test
    void requestThatNoUpstreamCanTakeIsRefusedByTheDeadline() throws Exception {
        start(new Server[0]);
        assertEquals(503, client().write(request("POST", "submit", "300", "")).read().status());
    }

    @Test
    void clientThatLeavesEndsItsAttempt() throws Exception {
        Server upstream = server(HANG);
        start(upstream);
        Client client = client().write(submit());
        RawSockets.next(upstream.requests);
        client.close();
        assertEquals(0, RawSockets.next(upstream.ended));
    }

    @ParameterizedTest
    @CsvSource({
        "X-Service-Class: submit,X-Service-Class: none",
        "X-Account: acme,X-Account: nobody",
        "X-Time-Left-Ms: 9000,X-Time-Left-Ms: soon",
        "X-Time-Left-Ms: 9000,X-Time-Left-Ms: -1",
        "X-Account: acme,X-Account: acme|X-Weight-Hint: 1e9",
        "POST,GET",
        "X-Correlation-Id,X-Other",
        "submit,revise",
        "HTTP/1.1,HTTP/x",
        "/submit?,/sub%zz?",
        "key=k1,key=%zz"
    })
    void badRequestIsAnswered400(String good, String bad) throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        assertEquals(
                400,
                client().write(submit().replace(good, bad.replace("|", "\r\n"))).read().status());
        assertEquals(200, client().write(submit()).read().status());
        assertEquals(1, upstream.requests.size());
    }

    /**
     * After a header that can't be read the decoder skips all that follows: kept open, it would be
     * lost.
     */
    @ParameterizedTest
    @CsvSource({
        "X-Account: acme,X-Acc\\u0001ount: acme",
        "Content-Length: 3||bid,Transfer-Encoding: chunked||zz|"
    })
    void connectionIsClosedAfterAMalformedRequest(String good, String bad) throws Exception {
        start(server(SERVE));
        Client client =
                client().write(
                                submit().replace(
                                                good.replace("|", "\r\n"),
                                                bad.replace("\\u0001", "\u0001")
                                                        .replace("|", "\r\n")));
        assertEquals(400, client.read().status());
        assertNull(client.read());
    }

    @Test
    void bodyBeyondTheLimitIsAnswered413() throws Exception {
        start(server(SERVE));
        assertEquals(
                413,
                client().write(submit().replace("Length: 3", "Length: 65537")).read().status());
    }

    /**
     * Refusing whoever sends while there are too many would refuse all of them when many connect at
     * once.
     */
    @Test
    void clientsBeyondTheDescriptorsAreRefusedAndTheOthersServed() throws Exception {
        sockets = 64 + 16; // room for 12 clients
        start(server(SERVE));
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 14; i++) {
            clients.add(client()); // accepted in this order
        }
        assertEquals(503, clients.get(13).write(submit()).read().status());
        assertNull(clients.get(13).read());
        assertEquals(200, clients.get(11).write(submit()).read().status());
    }

    /** Silent clients took every descriptor, and no upstream could be reached for the others. */
    @Test
    void clientsFarBeyondTheDescriptorsWaitToBeAccepted() throws Exception {
        sockets = 64 + 4; // room for 3 clients
        start(server(SERVE));
        List<Client> silent = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            silent.add(client());
        }
        Client waiting = client().write(submit());
        assertEquals(200, silent.get(0).write(submit()).read().status());
        waiting.socket.setSoTimeout(
                100); // one that was accepted would mostly have its refusal by then
        assertThrows(SocketTimeoutException.class, waiting::read);
        waiting.socket.setSoTimeout(RawSockets.PATIENCE_S * 1_000);
        for (Client c : silent) {
            c.close();
        }
        int status = waiting.read().status();
        assertTrue(
                status == 200 || status == 503, "served or refused, by how many have left by then");
    }

    /** They held their descriptors for good, until every other client was refused. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "GET /look?key=k1 HT",
                "POST /submit?key=k1 HTTP/1.1\r\nContent-Length: 9\r\n\r\nb"
            })
    void connectionOnWhichNoWholeRequestComesIsClosed(String part) throws Exception {
        start(server(SERVE));
        assertNull(client().write(part).read());
    }

    @Test
    void connectionOnWhichALaterRequestStaysCutIsClosed() throws Exception {
        start(server(SERVE));
        Client client = client();
        assertEquals(200, client.write(submit()).read().status());
        assertNull(client.write("POST /submit").read());
    }

    /**
     * To close a connection that looks idle crosses with the next request on it; so the answer says
     * it.
     */
    @Test
    void connectionsBeyondThoseKeptCloseWithTheirAnswerAndIdleOnesStay() throws Exception {
        sockets = 64 + 8; // room for 6 clients, 3 of them kept
        start(server(SERVE));
        List<Client> kept = List.of(client(), client(), client());
        for (Client c : kept) {
            assertNull(c.write(submit()).read().headers().get("connection"));
        }
        Client beyond = client().write(submit());
        Message answer = beyond.read();
        assertEquals(200, answer.status());
        assertEquals("close", answer.headers().get("connection"));
        assertNull(beyond.read());
        for (Client c : kept) {
            assertEquals(200, c.write(submit()).read().status());
        }
    }

    // ---- Discovery
    // -------------------------------------------------------------------------------------

    private static boolean watch(Message m) {
        return m.start().startsWith("GET /v1/servers?follow=1&since=");
    }

    @Test
    void drainingAndGoneUpstreamsGetNothingNew() throws Exception {
        Server old = server(SERVE);
        Server other = server(SERVE);
        Server discovery =
                server(
                        (m, s) -> {
                            RawSockets.beginChunks(s);
                            RawSockets.chunk(s, "");
                            RawSockets.chunk(s, "{broken");
                            RawSockets.chunk(
                                    s,
                                    list(
                                            42,
                                            false,
                                            entry("s-" + old.addr(), old.addr(), "Terminating"),
                                            entry("new", other.addr(), "Ready")));
                        });
        try (LogLines lines = new LogLines(DiscoveryClient.class)) {
            start(ready(old), discovery);
            assertTrue(RawSockets.next(discovery.requests).start().contains("since=41"));
            awaitServedBy(other);
            String said = lines.next();
            assertTrue(
                    said.startsWith(BadList.CODE)
                            && said.contains(discovery.addr())
                            && said.contains(BadList.REMEDY),
                    said);
        }
        int before = old.requests.size();
        for (int i = 0; i < 5; i++) {
            assertEquals(200, client().write(submit()).read().status());
        }
        assertEquals(before, old.requests.size());
        // a full list without it: gone; and the id that stays has moved
        Server moved = server(SERVE);
        RawSockets.chunk(
                discovery.accepted.get(0), list(43, true, entry("new", moved.addr(), "Ready")));
        awaitServedBy(moved);
        before = other.requests.size();
        assertEquals(200, client().write(submit()).read().status());
        assertEquals(before, other.requests.size());
    }

    /** Lists may be written for people; a heartbeat or a new object ends a broken one. */
    @Test
    void listsThatComeIndentedAreRead() throws Exception {
        Server one = server(SERVE);
        Server two = server(SERVE);
        Server three = server(SERVE);
        Server discovery =
                server(
                        (m, s) -> {
                            RawSockets.beginChunks(s);
                            RawSockets.chunk(
                                    s,
                                    "{\n"
                                            + "  \"version\": 42, \"full\": true,\n"
                                            + "  \"note\": \"}]{\\\"\",\n"
                                            + "  \"servers\": [\n"
                                            + "    "
                                            + entry("one", one.addr(), "Ready")
                                                    .replace(",", ",\n      ")
                                            + "\n  ]\n}");
                        });
        start(ready(server(SERVE)), discovery);
        awaitServedBy(one);
        Socket watch = discovery.accepted.get(0);
        RawSockets.chunk(watch, "{\"version\":43,\"full\":true,\"servers\":[");
        RawSockets.chunk(watch, "");
        RawSockets.chunk(watch, list(44, true, entry("two", two.addr(), "Ready")));
        awaitServedBy(two);
        RawSockets.chunk(
                watch,
                "{\"version\":45,\"full\":true,\"servers\":[\n      "
                        + entry("three", three.addr(), "Ready")
                        + "]}");
        awaitServedBy(three);
    }

    /**
     * One that says nothing may be cut off, and what it had to tell would be unheard past the
     * grace.
     */
    @Test
    void silentWatchAndEndedWatchAreOpenedAgainFromTheVersionKnown() throws Exception {
        AtomicInteger count = new AtomicInteger();
        Server upstream = server(SERVE);
        Server discovery =
                server(
                        (m, s) -> {
                            assertTrue(watch(m));
                            RawSockets.beginChunks(s);
                            int n = count.getAndIncrement();
                            if (n == 0) {
                                RawSockets.chunk(s, list(50, false));
                                s.close();
                            } else if (n == 1) {
                                RawSockets.chunk(s, list(51, false));
                                s.getOutputStream().write("0\r\n\r\n".getBytes("UTF-8"));
                            } else if (n == 2) {
                                RawSockets.chunk(s, list(52, false)); // and not a word more
                            }
                        });
        start(ready(upstream), discovery);
        List<String> calls = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            calls.add(RawSockets.next(discovery.requests).start());
        }
        assertEquals(
                List.of("41", "50", "51", "52"),
                calls.stream()
                        .map(c -> c.replaceAll(".*since=(\\d+) .*", "$1"))
                        .collect(Collectors.toList()));
    }

    /** Connections to the process before are dead, even where their end was never heard of. */
    @Test
    void restartedUpstreamGetsNewConnections() throws Exception {
        Server upstream = server(SERVE);
        CountDownLatch restart = new CountDownLatch(1);
        Server discovery =
                server(
                        (m, s) -> {
                            restart.await();
                            RawSockets.beginChunks(s);
                            RawSockets.chunk(
                                    s,
                                    list(
                                            42,
                                            false,
                                            entry("s-" + upstream.addr(), upstream.addr(), "Ready")
                                                    .replace(
                                                            "\"started_ms\":0",
                                                            "\"started_ms\":1764000000000")));
                        });
        start(ready(upstream), discovery);
        Client client = client();
        assertEquals(200, client.write(submit()).read().status());
        restart.countDown();
        assertEquals(0, RawSockets.next(upstream.ended));
        assertEquals(200, client.write(submit()).read().status());
        assertEquals(2, upstream.accepted.size());
    }

    @Test
    void healthIsGoodOnlyOnceTheListIsKnown() throws Exception {
        CountDownLatch tell = new CountDownLatch(1);
        Server upstream = server(SERVE);
        Server discovery =
                server(
                        (m, s) -> {
                            tell.await();
                            RawSockets.beginChunks(s);
                            RawSockets.chunk(s, ready(upstream));
                        });
        start(list(0, true), discovery);
        String health = "GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n";
        Client client = client();
        assertEquals(503, client.write(health).read().status());
        tell.countDown();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(RawSockets.PATIENCE_S);
        while (client.write(health).read().status() != 200) {
            assertTrue(System.nanoTime() < end, "never ready");
        }
        assertEquals(200, client.write(submit()).read().status());
    }

    // ---- Start and stop
    // --------------------------------------------------------------------------------

    @Test
    void plannedStopAnswersAllThatWasTakenAndStillAcceptsAWhile() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        Script gated =
                (m, s) -> {
                    go.await();
                    SERVE.on(m, s);
                };
        start(server(gated), server(gated));
        Client unused = client();
        Client inWork = client().write(submit());
        Future<Void> drained = node.drain(1_000, 60_000);
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
        assertTrue(drained.await(RawSockets.PATIENCE_S, TimeUnit.SECONDS));
    }

    /** Each answer closed its connection, and with one balancer there was nowhere else to go. */
    @Test
    void plannedStopServesOnKeptConnectionsAsLongAsItAccepts() throws Exception {
        start(server(SERVE));
        Client client = client();
        assertEquals(200, client.write(submit()).read().status());
        node.drain(60_000, 90_000);
        String health = "GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n";
        assertEquals(503, client.write(health).read().status());
        assertEquals(200, client.write(submit()).read().status());
        assertNull(client.write(submit()).read().headers().get("connection"));
    }

    /**
     * A stop leaves less time than some clients do: what the end of the process finds unanswered is
     * lost.
     */
    @Test
    void plannedStopAnswersWhatIsStillOpenAtItsEnd() throws Exception {
        CountDownLatch taken = new CountDownLatch(1);
        Script hang = (m, s) -> taken.countDown();
        Server one = server(hang);
        Server two = server(hang);
        start(one, two);
        Client client = client().write(request("GET", "look", "600000", ""));
        assertTrue(taken.await(RawSockets.PATIENCE_S, TimeUnit.SECONDS));
        Future<Void> drained = node.drain(1, 100);
        assertTrue(client.read().status() >= 500);
        assertTrue(drained.await(RawSockets.PATIENCE_S, TimeUnit.SECONDS));
        assertEquals(1, one.requests.size() + two.requests.size());
    }

    /**
     * The loop was late: what comes after the last answers would have none when the process ends.
     */
    @Test
    void afterTheLastAnswersOfAPlannedStopWhatStillComesIsRefusedAtOnce() throws Exception {
        CountDownLatch taken = new CountDownLatch(1);
        Server upstream = server((m, s) -> taken.countDown());
        start(upstream);
        Client idle = client();
        Client inWork = client().write(submit());
        assertTrue(taken.await(RawSockets.PATIENCE_S, TimeUnit.SECONDS));
        node.drain(60_000, 1);
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
    void aPlannedStopLeavesMoreRoomWhereOthersServe(
            long deadline, int group, long accepts, long answers) {
        Main.Stop stop = Main.Stop.of(deadline, group);
        assertEquals(accepts, stop.keepAccepting());
        assertEquals(answers, stop.lastAnswer());
    }

    @Test
    void commandLineAndConfigAreChecked() throws Exception {
        assertEquals(2, run().exit());
        assertEquals(2, run("listen").exit());
        assertEquals(1, run("serve").exit());
        Path file = folder.resolve("config.json");
        assertOneLine(run(file, "serve"));
        Files.writeString(file, "{\"listen\":");
        assertOneLine(run(file, "serve"));
        Files.writeString(file, "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"no.such.host:1\"}");
        assertOneLine(run(file, "serve"));
        Server taken = server(HANG);
        start(taken);
        Files.writeString(file, Files.readString(file).replace("127.0.0.1:0", taken.addr()));
        assertOneLine(run(file, "serve"));
    }

    /**
     * One of a few that opened cold was seconds behind its clients; one of many was away for
     * seconds to serve itself. What it warms up with is its own affair.
     */
    @ParameterizedTest
    @CsvSource({"1, 90, 200", "100, 10, 50"})
    void rehearsalServesRequestsAndTouchesNoOne(int group, int least, int most) throws Exception {
        balancers = group;
        Server upstream = server(SERVE);
        Server discovery = server(HANG);
        int served = Warmup.run(config(ready(upstream), discovery));
        assertTrue(served >= least && served <= most, "served " + served);
        assertTrue(upstream.accepted.isEmpty());
        assertTrue(discovery.accepted.isEmpty());
    }

    /**
     * On a thread of its own the rehearsal's loop spun for good where only one thread runs at a
     * time. What is handed on from thread to thread counts those that the rehearsal makes, and none
     * of another test's.
     */
    @Test
    void rehearsalStartsNoThread() throws Exception {
        BalancerConfig config = config(ready(server(SERVE)), server(HANG));
        List<String> makers = new CopyOnWriteArrayList<>();
        InheritableThreadLocal<Boolean> handedOn =
                new InheritableThreadLocal<>() {
                    @Override
                    protected Boolean childValue(Boolean parent) {
                        makers.add(Thread.currentThread().getName());
                        return parent;
                    }
                };
        handedOn.set(true);
        try {
            Warmup.run(config);
        } finally {
            handedOn.remove();
        }
        assertEquals(List.of(), makers);
    }

    /** What the build runs to have the loaded classes kept for the starts to come. */
    @Test
    void rehearseCommandEndsByItself() {
        assertEquals(0, run(Path.of("deploy/rehearsal.json"), "rehearse").exit());
    }

    private record Result(int exit, String err) {}

    private static Result run(String... args) {
        return run(null, args);
    }

    private static Result run(Path config, String... args) {
        var err = new java.io.ByteArrayOutputStream();
        int exit =
                Main.run(
                        args,
                        config == null ? null : config.toString(),
                        new java.io.PrintStream(err));
        return new Result(exit, err.toString());
    }

    private static void assertOneLine(Result result) {
        assertEquals(1, result.exit());
        assertEquals(1, result.err().lines().count(), result.err());
    }
}
