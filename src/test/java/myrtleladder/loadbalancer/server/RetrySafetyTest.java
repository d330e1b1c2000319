package myrtleladder.loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import myrtleladder.loadbalancer.server.RawSockets.Client;
import myrtleladder.loadbalancer.server.RawSockets.Message;
import myrtleladder.loadbalancer.server.RawSockets.Script;
import myrtleladder.loadbalancer.server.RawSockets.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Which outcomes of an attempt lead to a retry, and which responses are forwarded. A request that
 * may have run is never sent again unless that is safe.
 */
class RetrySafetyTest extends LoadBalancerFixture {
    /**
     * Once its last byte is written, an unsafe request may have run, regardless of how the
     * connection ends.
     */
    @Test
    void unsafeRequestIsNotRetriedAfterAReset() throws Exception {
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
    void unsafeRequestIsNotRetriedAfterAResponseThatProvesNothing(String status, String header)
            throws Exception {
        Script error =
                (m, s) ->
                        RawSockets.respond(s, status, header.isEmpty() ? "" : header + "\r\n", "");
        Server one = server(error);
        Server two = server(error);
        start(one, two);
        assertFailed(client().write(submit()).read());
        assertEquals(1, one.requests.size() + two.requests.size());
    }

    @Test
    void rejectedRequestIsRetried() throws Exception {
        AtomicInteger count = new AtomicInteger();
        Script once =
                (m, s) -> {
                    if (count.getAndIncrement() == 0) {
                        RawSockets.respond(
                                s, "503 Service Unavailable", "X-Unprocessed: 1\r\n", "");
                    } else {
                        SERVE.on(m, s);
                    }
                };
        start(server(once), server(once));
        assertEquals(200, client().write(submit()).read().status());
        assertEquals(2, count.get());
    }

    @Test
    void refusedConnectionIsRetriedAtAnotherUpstream() throws Exception {
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
     * Guards against treating an interim response as the final one; the final one then became the
     * response to the next request.
     */
    @Test
    void interimResponseIsNotTakenForTheFinalOne() throws Exception {
        Server upstream =
                server(
                        (m, s) -> {
                            s.getOutputStream()
                                    .write(
                                            "HTTP/1.1 102 Processing\r\n\r\n"
                                                    .getBytes(StandardCharsets.UTF_8));
                            RawSockets.respond(
                                    s, "200 OK", "", m.headers().get("x-correlation-id"));
                        });
        start(upstream);
        Client client = client();
        assertEquals("id-0", client.write(submit()).read().body());
        assertEquals("id-1", client.write(submit()).read().body());
        assertEquals(1, upstream.accepted.size());
    }

    /** A truncated response must not be forwarded as if it were complete. */
    @ParameterizedTest
    @CsvSource({
        "Content-Length: 10, false",
        "Transfer-Encoding: chunked, false",
        "X-No-Length: 1, true",
        "Content-Length: 10, true",
        "Transfer-Encoding: chunked, true"
    })
    void truncatedResponseIsNotForwarded(String framing, boolean reset) throws Exception {
        CountDownLatch written = new CountDownLatch(1);
        CountDownLatch read = new CountDownLatch(1);
        Server upstream =
                server(
                        (m, s) -> {
                            String half = "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n4\r\nha";
                            s.getOutputStream().write(half.getBytes(StandardCharsets.UTF_8));
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
        // A later request has been answered, so any response to this one would have been read.
        assertEquals(400, client().write("GET /look HTTP/1.1\r\n\r\n").read().status());
        read.countDown();
        assertFailed(client.read());
        assertEquals(0, upstream.requests.size());
    }

    /**
     * A response without a length is complete when its connection is closed. Guards against
     * treating it as truncated.
     */
    @Test
    void responseThatEndsWithItsConnectionIsForwarded() throws Exception {
        Server upstream =
                server(
                        (m, s) -> {
                            String answer = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it";
                            s.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
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
     * Guards against reading bytes after a response as the response to the next request on the
     * connection.
     */
    @Test
    void bytesBehindAResponseAreNotTakenForTheNextOne() throws Exception {
        AtomicInteger count = new AtomicInteger();
        Server upstream =
                server(
                        (m, s) -> {
                            boolean first = count.getAndIncrement() == 0;
                            String stray = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
                            RawSockets.respond(
                                    s,
                                    "200 OK",
                                    "",
                                    m.headers().get("x-correlation-id")
                                            + (first ? stray.substring(0, 30) : ""),
                                    4);
                            if (!first) {
                                s.getOutputStream()
                                        .write(
                                                stray.substring(30)
                                                        .getBytes(StandardCharsets.UTF_8));
                            }
                        });
        start(upstream);
        Client client = client();
        assertEquals("id-0", client.write(submit()).read().body());
        assertEquals("id-1", client.write(submit()).read().body());
    }

    /** A malformed response must not be forwarded, and the request may have run. */
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
    void malformedResponseIsNotForwarded(String answer) throws Exception {
        Script broken =
                (m, s) ->
                        s.getOutputStream()
                                .write(
                                        answer.replace("|", "\r\n")
                                                .getBytes(StandardCharsets.UTF_8));
        Server one = server(broken);
        Server two = server(broken);
        start(one, two);
        assertFailed(client().write(submit()).read());
        assertEquals(1, one.requests.size() + two.requests.size());
    }
}
