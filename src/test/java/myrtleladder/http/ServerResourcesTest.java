package myrtleladder.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What a server refuses, whom it closes, and that everything reserved is given back. */
@Timeout(60)
class ServerResourcesTest extends HttpServerTestCase {
    private static final int MAX_BODY_BYTES = 1_024 * 1_024;
    private static final RequestLimits LIMITS =
            new RequestLimits(16_384, MAX_BODY_BYTES, 30_000, 30_000);

    /** So small that the memory of all clients follows from the largest body. */
    private static final long HEAP_BYTES = 4L * MAX_BODY_BYTES;

    private static final long LARGE_HEAP_BYTES = 64L * 1_024 * 1_024;
    private static final int MANY_DESCRIPTORS = 10_000;

    /** With these a process may have three connections. */
    private static final int FEW_DESCRIPTORS = 204;

    private void serve(long heapBytes, int descriptors, Consumer<ServerExchange> handler)
            throws IOException {
        serve(LIMITS, heapBytes, descriptors, handler);
    }

    @Test
    void bodyOverTheLimitIsRefusedByItsLengthAndNotReadAsARequest() throws IOException {
        serve(LARGE_HEAP_BYTES, MANY_DESCRIPTORS, HttpServerTestCase::answer);
        try (Socket socket = connect()) {
            send(socket, post("/large", MAX_BODY_BYTES + 1, 0));
            assertTrue(readHead(socket).startsWith("HTTP/1.1 413 "));
            send(socket, get("/smuggled"));
            assertEquals("", readAll(socket));
        }
        awaitNothingHeld();
        assertTrue(handled.isEmpty(), handled.toString());
        assertEquals(1, resources.refusals(Refusal.BODY_TOO_LARGE));
    }

    @Test
    void chunkedBodyOverTheLimitIsRefused() throws IOException {
        serve(LARGE_HEAP_BYTES, MANY_DESCRIPTORS, HttpServerTestCase::answer);
        try (Socket socket = connect()) {
            send(socket, "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
            send(socket, "110000\r\n" + "c".repeat(0x110000) + "\r\n" + get("/smuggled"));
            assertTrue(readAll(socket).startsWith("HTTP/1.1 413 "));
        }
        awaitNothingHeld();
        assertTrue(handled.isEmpty(), handled.toString());
    }

    @Test
    void headOverTheLimitIsRefused() throws IOException {
        serve(LARGE_HEAP_BYTES, MANY_DESCRIPTORS, HttpServerTestCase::answer);
        String field = "X-Field: " + "v".repeat(20_000) + "\r\n";
        try (Socket socket = connect()) {
            send(socket, "GET /head HTTP/1.1\r\nHost: h\r\n" + field + "\r\n");
            assertTrue(readAll(socket).startsWith("HTTP/1.1 431 "));
        }
        awaitNothingHeld();
        assertTrue(handled.isEmpty(), handled.toString());
    }

    @Test
    void largestBodyIsServedAlone() throws IOException {
        serve(HEAP_BYTES, MANY_DESCRIPTORS, HttpServerTestCase::answer);
        for (int i = 0; i < 3; i++) {
            try (Socket socket = connect()) {
                send(socket, post("/largest", MAX_BODY_BYTES, MAX_BODY_BYTES));
                assertTrue(readHead(socket).startsWith("HTTP/1.1 200 "));
            }
        }
        awaitNothingHeld();
    }

    @Test
    void incompleteBodyThatHoldsMostForLongestIsRefusedWith503() throws IOException {
        serve(HEAP_BYTES, MANY_DESCRIPTORS, HttpServerTestCase::answer);
        try (Socket first = connect();
                Socket second = connect()) {
            send(first, post("/first", MAX_BODY_BYTES, MAX_BODY_BYTES - 10));
            await(() -> resources.heldBytes() >= MAX_BODY_BYTES - 10);
            send(second, post("/second", MAX_BODY_BYTES, MAX_BODY_BYTES));
            assertTrue(readHead(second).startsWith("HTTP/1.1 200 "));
            String refused = readAll(first);
            assertTrue(refused.startsWith("HTTP/1.1 503 "), refused);
            assertTrue(refused.contains("\r\nRetry-After: "), refused);
        }
        awaitNothingHeld();
        assertEquals("/second", handled.poll());
        assertTrue(handled.isEmpty(), handled.toString());
    }

    @Test
    void smallRequestIsServedWhileLargeOnesAreBeingAnswered() throws IOException {
        LinkedBlockingQueue<ServerExchange> waiting = new LinkedBlockingQueue<>();
        serve(
                HEAP_BYTES,
                MANY_DESCRIPTORS,
                exchange -> {
                    if (exchange.head().target().equals("/large")) {
                        waiting.add(exchange);
                    } else {
                        answer(exchange);
                    }
                });
        try (Socket large = connect();
                Socket secondLarge = connect();
                Socket small = connect()) {
            send(large, post("/large", MAX_BODY_BYTES, MAX_BODY_BYTES));
            await(() -> !waiting.isEmpty());
            send(secondLarge, post("/large", MAX_BODY_BYTES, MAX_BODY_BYTES));
            assertTrue(readHead(secondLarge).startsWith("HTTP/1.1 503 "));
            send(small, post("/small", 1_000, 1_000));
            assertTrue(readHead(small).startsWith("HTTP/1.1 200 "));
            loop.execute(() -> answer(waiting.remove()));
            assertTrue(readHead(large).startsWith("HTTP/1.1 200 "));
        }
        awaitNothingHeld();
    }

    @Test
    void everyWayOutGivesBackWhatWasReserved() throws IOException {
        LinkedBlockingQueue<ServerExchange> waiting = new LinkedBlockingQueue<>();
        serve(LARGE_HEAP_BYTES, MANY_DESCRIPTORS, waiting::add);
        int large = MAX_BODY_BYTES / 2;
        String[] left = {
            post("/incomplete", large, large - 10),
            post("/whole", large, large),
            post("/whole", 10, 10) + post("/incomplete", large, large - 10),
            post("/whole", large, large) + post("/whole", large, large),
            "GET /incomplete HTTP/1.1\r\nX-Field: " + "v".repeat(5_000),
            "\r\n".repeat(5_000),
        };
        for (String request : left) {
            try (Socket socket = connect()) {
                send(socket, request);
                await(() -> resources.heldBytes() >= 5_000);
            }
            awaitNothingHeld();
        }
        waiting.clear();
        try (Socket socket = connect()) {
            send(socket, post("/aborted", large, large));
            await(() -> !waiting.isEmpty());
            loop.execute(() -> waiting.remove().abort());
            awaitNothingHeld();
        }
    }

    @Test
    void clientThatDoesNotReadItsAnswersIsClosed() throws IOException {
        byte[] large = new byte[8 * MAX_BODY_BYTES];
        serve(
                HEAP_BYTES,
                MANY_DESCRIPTORS,
                exchange -> exchange.respond(200, new Headers(), large.clone()));
        try (Socket socket = connect()) {
            send(socket, get("/a").repeat(10));
            await(() -> resources.refusals(Refusal.ANSWER_SHED) == 1);
            awaitNothingHeld();
        }
    }

    @Test
    void answerThatIsReadSlowlyArrivesWhole() throws IOException {
        byte[] large = new byte[MAX_BODY_BYTES];
        serve(
                HEAP_BYTES,
                MANY_DESCRIPTORS,
                exchange -> exchange.respond(200, new Headers(), large.clone()));
        try (Socket socket = connect()) {
            send(socket, "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            await(() -> !handled.isEmpty());
            assertTrue(readAll(socket).length() > large.length);
        }
        awaitNothingHeld();
    }

    @Test
    void connectionsThatNeverSentARequestGiveWayToNewOnes() throws IOException {
        serve(LARGE_HEAP_BYTES, FEW_DESCRIPTORS, HttpServerTestCase::answer);
        try (Socket used = connect()) {
            send(used, get("/one"));
            assertTrue(readHead(used).startsWith("HTTP/1.1 200 "));
            Socket[] silent = new Socket[5];
            for (int i = 0; i < silent.length; i++) {
                silent[i] = connect();
            }
            await(() -> resources.refusals(Refusal.TOO_MANY_CONNECTIONS) == 3);
            assertEquals("", readAll(silent[0]));
            send(used, get("/two"));
            assertTrue(readHead(used).startsWith("HTTP/1.1 200 "));
            for (Socket socket : silent) {
                socket.close();
            }
        }
        awaitNothingHeld();
    }

    @Test
    void slowRequestBehindAnotherDoesNotCostTheOtherItsAnswer() throws IOException {
        LinkedBlockingQueue<ServerExchange> waiting = new LinkedBlockingQueue<>();
        serve(LARGE_HEAP_BYTES, MANY_DESCRIPTORS, waiting::add);
        try (Socket socket = connect()) {
            send(socket, get("/first") + post("/second", 100, 10));
            await(() -> !waiting.isEmpty());
            loop.execute(() -> loop.schedule(200, () -> server.closeIdle(60_000, 100)));
            await(() -> resources.refusals(Refusal.REQUEST_TOO_SLOW) == 1);
            loop.execute(() -> answer(waiting.remove()));
            String all = readAll(socket);
            assertTrue(all.startsWith("HTTP/1.1 200 "), all);
            assertFalse(all.substring(1).contains("HTTP/1.1"), all);
        }
        awaitNothingHeld();
        assertEquals("/first", handled.poll());
        assertTrue(handled.isEmpty(), handled.toString());
    }
}
