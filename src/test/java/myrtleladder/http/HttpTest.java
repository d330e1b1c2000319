package myrtleladder.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import myrtleladder.eventloop.EventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The HTTP of clients and upstreams through real sockets. */
@Timeout(60)
class HttpTest {
    private static final byte[] NONE = {};
    private EventLoop loop;
    private int port;
    private final LinkedBlockingQueue<String> heard = new LinkedBlockingQueue<>();

    @BeforeEach
    void start() {
        loop = new EventLoop();
        loop.start();
    }

    @AfterEach
    void stop() {
        loop.stop();
    }

    private HttpServer serve(Consumer<ServerExchange> handler) throws Exception {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        return new HttpServer(loop, "127.0.0.1", port, handler);
    }

    private Socket client() throws Exception {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(5_000);
        return socket;
    }

    private static void send(Socket socket, String text) throws Exception {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    private static String readUntil(Socket socket, String ending) throws Exception {
        InputStream in = socket.getInputStream();
        StringBuilder text = new StringBuilder();
        while (ending == null || text.indexOf(ending) < 0) {
            int b = in.read();
            if (b < 0) {
                return text + "<end>";
            }
            text.append((char) b);
        }
        return text.toString();
    }

    @Test
    void aConnectionServesRequestsWithLengthAndInChunks() throws Exception {
        serve(e -> e.respond(200, new Headers().add("X-Target", e.head().target()), e.body()));
        try (Socket socket = client()) {
            send(socket, "POST /a/b?q=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
            String first = readUntil(socket, "abc");
            assertTrue(first.startsWith("HTTP/1.1 200 OK\r\n"), first);
            assertTrue(first.contains("X-Target: /a/b?q=1\r\n"), first);
            assertTrue(first.contains("Content-Length: 3\r\n"), first);
            send(
                    socket,
                    "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + "2\r\nde\r\n1\r\nf\r\n0\r\n\r\n");
            assertTrue(readUntil(socket, "def").contains("X-Target: /c\r\n"));
        }
    }

    /** Guards against a handler's exception that closes the connection without an answer. */
    @Test
    void aRequestWhoseHandlerFailsIsAnsweredWith500AndTheNextOneIsServed() throws Exception {
        serve(
                e -> {
                    if (e.head().target().equals("/exception")) {
                        throw new IllegalStateException("a bug");
                    }
                    if (e.head().target().equals("/error")) {
                        throw new StackOverflowError();
                    }
                    e.respond(200, new Headers(), NONE);
                });
        try (Socket socket = client()) {
            for (String target : new String[] {"/exception", "/error"}) {
                send(socket, "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n");
                String failed = readUntil(socket, "\r\n\r\n");
                assertTrue(failed.startsWith("HTTP/1.1 500 "), failed);
                send(socket, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
                String next = readUntil(socket, "\r\n\r\n");
                assertTrue(next.startsWith("HTTP/1.1 200 "), next);
            }
        }
    }

    /** Guards against a response with many header fields that leaves the client without an end. */
    @Test
    void aResponseArrivesWholeOrItsConnectionClosesHoweverManyFieldsItHas() throws Exception {
        serve(
                e -> {
                    Headers headers = new Headers();
                    int count = Integer.parseInt(e.head().target().substring(1));
                    for (int i = 0; i < count; i++) {
                        headers.add("X-" + i, "v");
                    }
                    // later, as the response of an upstream arrives
                    loop.execute(() -> e.respond(200, headers, "whole".getBytes(US_ASCII)));
                });
        for (int count : new int[] {90, 97, 98, 99, 100}) {
            try (Socket socket = client()) {
                send(socket, "GET /" + count + " HTTP/1.1\r\nHost: h\r\n\r\n");
                assertTrue(readUntil(socket, "whole").endsWith("\r\nwhole"), count + " fields");
            }
        }
        try (Socket socket = client()) {
            send(socket, "GET /500 HTTP/1.1\r\nHost: h\r\n\r\n");
            assertEquals("<end>", readUntil(socket, null));
        }
    }

    /** Guards against an error, such as a stack overflow, that ends or delays the event loop. */
    @Test
    void tasksAndTimersBehindOneThatFailsStillRun() throws Exception {
        for (Throwable failure : new Throwable[] {new IllegalStateException(), new Error()}) {
            CompletableFuture<Void> task = new CompletableFuture<>();
            CompletableFuture<Void> timer = new CompletableFuture<>();
            loop.execute(
                    () -> {
                        loop.schedule(0, () -> rethrow(failure));
                        loop.schedule(0, () -> timer.complete(null));
                        loop.execute(() -> rethrow(failure));
                        loop.execute(() -> task.complete(null));
                    });
            task.get(5, TimeUnit.SECONDS);
            timer.get(5, TimeUnit.SECONDS);
        }
    }

    private static void rethrow(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }

    @Test
    void aRequestWithUpgradeIsAnsweredAsHttp11AndItsConnectionCloses() throws Exception {
        serve(e -> e.respond(200, new Headers().add("X-Target", e.head().target()), e.body()));
        String offer = "Host: h\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n";
        try (Socket socket = client()) {
            send(socket, "GET /a HTTP/1.1\r\n" + offer + "\r\n");
            String answer = readUntil(socket, null);
            assertTrue(answer.contains("X-Target: /a\r\n"), answer);
            assertTrue(answer.contains("Connection: close\r\n"), answer);
        }
        try (Socket socket = client()) {
            send(socket, "PUT /b HTTP/1.1\r\n" + offer + "Content-Length: 4\r\n\r\nab");
            send(socket, "cd");
            String answer = readUntil(socket, null);
            assertTrue(answer.contains("X-Target: /b\r\n"), answer);
            assertTrue(answer.endsWith("abcd<end>"), answer);
        }
    }

    @Test
    void aStreamedResponseArrivesChunkByChunk() throws Exception {
        LinkedBlockingQueue<ServerExchange> exchanges = new LinkedBlockingQueue<>();
        serve(exchanges::add);
        try (Socket socket = client()) {
            send(socket, "GET /s HTTP/1.1\r\nHost: h\r\n\r\n");
            ServerExchange exchange = exchanges.poll(5, TimeUnit.SECONDS);
            loop.execute(
                    () -> {
                        exchange.begin(200, new Headers().add("Content-Type", "text/event-stream"));
                        exchange.write("one".getBytes(StandardCharsets.US_ASCII), 0, 3);
                    });
            String head = readUntil(socket, "one");
            assertTrue(head.contains("Transfer-Encoding: chunked"), head);
            assertTrue(head.contains("Content-Type: text/event-stream"), head);
            loop.execute(() -> exchange.write("two".getBytes(StandardCharsets.US_ASCII), 0, 3));
            readUntil(socket, "two");
            loop.execute(exchange::end);
            readUntil(socket, "0\r\n\r\n");
            send(socket, "GET /again HTTP/1.1\r\nHost: h\r\n\r\n");
            assertEquals("/again", exchanges.poll(5, TimeUnit.SECONDS).head().target());
        }
    }

    @Test
    void aStreamBegunBeforeAGracefulCloseClosesItsConnection() throws Exception {
        LinkedBlockingQueue<ServerExchange> taken = new LinkedBlockingQueue<>();
        HttpServer server =
                serve(
                        e -> {
                            e.begin(200, new Headers());
                            e.write(new byte[] {'a'}, 0, 1);
                            taken.add(e);
                        });
        try (Socket socket = client()) {
            send(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
            readUntil(socket, "1\r\na\r\n");
            ServerExchange exchange = taken.poll(5, TimeUnit.SECONDS);
            loop.execute(server::closeGracefully);
            loop.execute(exchange::end);
            assertEquals("0\r\n\r\n<end>", readUntil(socket, null));
        }
    }

    @Test
    void anAbortedStreamIsIncompleteForTheClient() throws Exception {
        serve(
                e -> {
                    e.begin(200, new Headers());
                    e.write("one".getBytes(StandardCharsets.US_ASCII), 0, 3);
                    loop.schedule(50, e::abort);
                });
        try (Socket socket = client()) {
            send(socket, "GET /s HTTP/1.1\r\nHost: h\r\n\r\n");
            String all;
            try {
                all = readUntil(socket, null);
            } catch (java.net.SocketException reset) {
                all = "reset";
            }
            assertTrue(!all.contains("\r\n0\r\n"), all);
        }
    }

    @Test
    void aDisconnectOfTheClientIsReportedWhileAResponseIsDue() throws Exception {
        serve(e -> e.onGone(() -> heard.add("gone")));
        Socket socket = client();
        send(socket, "GET /s HTTP/1.1\r\nHost: h\r\n\r\n");
        loop.execute(() -> {});
        socket.close();
        assertEquals("gone", heard.poll(5, TimeUnit.SECONDS));
    }

    @Test
    void aMalformedRequestClosesOnlyItsOwnConnection() throws Exception {
        HttpServer server = serve(e -> e.respond(200, new Headers(), NONE));
        loop.execute(() -> loop.schedule(200, () -> server.closeIdle(60_000, 100)));
        try (Socket socket = client()) {
            send(socket, "\u0000\u0001 nonsense\r\n\r\n\r\n");
            String text = readUntil(socket, null);
            assertTrue(text.startsWith("HTTP/1.1 400") || text.equals("<end>"), text);
        }
        try (Socket socket = client()) {
            send(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
            assertTrue(readUntil(socket, "\r\n\r\n").startsWith("HTTP/1.1 200"));
        }
    }

    private HttpConnection.Listener recorder(Consumer<HttpConnection.Listener> whenConnected) {
        return new HttpConnection.Listener() {
            @Override
            public void connected() {
                whenConnected.accept(this);
            }

            @Override
            public void head(ResponseHead head) {
                heard.add("head " + head.status() + " " + head.headers().get("X-Name"));
            }

            @Override
            public void body(byte[] bytes) {
                heard.add("body " + new String(bytes, StandardCharsets.ISO_8859_1));
            }

            @Override
            public void end(boolean reusable) {
                heard.add("end " + reusable);
            }

            @Override
            public void closed(boolean everConnected) {
                heard.add("closed " + everConnected);
            }
        };
    }

    /** Connects on the loop, as programs do: a listener is told only after connect has returned. */
    private HttpConnection ask(int to, RequestHead head, byte[] body) throws Exception {
        CompletableFuture<HttpConnection> made = new CompletableFuture<>();
        loop.execute(
                () ->
                        made.complete(
                                HttpConnection.connect(
                                        loop,
                                        "127.0.0.1",
                                        to,
                                        recorder(l -> made.join().send(head, body)))));
        return made.get(5, TimeUnit.SECONDS);
    }

    private static Socket accept(ServerSocket upstream) throws Exception {
        upstream.setSoTimeout(5_000);
        Socket peer = upstream.accept();
        peer.setSoTimeout(5_000);
        return peer;
    }

    private String next() throws InterruptedException {
        return heard.poll(5, TimeUnit.SECONDS);
    }

    @Test
    void aClientSendsARequestAndReceivesTheResponse() throws Exception {
        try (ServerSocket upstream = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
            HttpConnection connection =
                    ask(
                            upstream.getLocalPort(),
                            new RequestHead(
                                    "POST",
                                    "/p?x=1",
                                    new Headers().add("Host", "h").add("X-A", "1")),
                            "abc".getBytes(StandardCharsets.US_ASCII));
            try (Socket peer = accept(upstream)) {
                String request = readUntil(peer, "abc");
                assertTrue(request.startsWith("POST /p?x=1 HTTP/1.1\r\n"), request);
                assertTrue(
                        request.contains("X-A: 1\r\n") && request.contains("Host: h\r\n"), request);
                send(peer, "HTTP/1.1 200 OK\r\nX-Name: v\r\nContent-Length: 2\r\n\r\nok");
                assertEquals("head 200 v", next());
                assertEquals("body ok", next());
                assertEquals("end true", next());
                loop.execute(
                        () ->
                                connection.send(
                                        new RequestHead(
                                                "GET", "/q", new Headers().add("Host", "h")),
                                        NONE));
                readUntil(peer, "\r\n\r\n");
                send(peer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
                assertEquals("head 200 null", next());
                assertEquals("body abc", next());
                send(peer, "0\r\n\r\n");
                assertEquals("end true", next());
                send(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno");
                assertEquals("closed true", next());
            }
        }
    }

    /** Long enough that the sockets' buffers can't hold it. */
    private static final int LONG_BODY_BYTES = 8 * 1_024 * 1_024;

    @Test
    void restOfABodyThatWasAnsweredEarlyPrecedesTheNextRequest() throws Exception {
        byte[] body = new byte[LONG_BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        RequestHead next = new RequestHead("GET", "/next", new Headers().add("Host", "h"));
        try (ServerSocket upstream = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
            HttpConnection connection =
                    ask(
                            upstream.getLocalPort(),
                            new RequestHead("POST", "/long", new Headers().add("Host", "h")),
                            body);
            try (Socket peer = accept(upstream)) {
                readUntil(peer, "\r\n\r\n");
                send(peer, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n");
                assertEquals("head 413 null", next());
                assertEquals("end true", next());
                loop.execute(() -> connection.send(next, NONE));
                assertArrayEquals(body, peer.getInputStream().readNBytes(LONG_BODY_BYTES));
                String request = readUntil(peer, "\r\n\r\n");
                assertTrue(request.startsWith("GET /next HTTP/1.1\r\n"), request);
            }
        }
    }

    @Test
    void aTruncatedResponseIsReportedAsClosed() throws Exception {
        for (String cut :
                new String[] {
                    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                    "HTTP/1.1 200 OK\r\n\r\nabc",
                    "nonsense that is no HTTP\r\n\r\n",
                    ""
                }) {
            heard.clear();
            try (ServerSocket upstream =
                    new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
                ask(
                        upstream.getLocalPort(),
                        new RequestHead("GET", "/", new Headers().add("Host", "h")),
                        NONE);
                try (Socket peer = accept(upstream)) {
                    readUntil(peer, "\r\n\r\n");
                    send(peer, cut);
                }
                String last = next();
                while (!last.startsWith("closed") && !last.startsWith("end")) {
                    last = next();
                }
                assertEquals("closed true", last, cut);
            }
        }
    }

    @Test
    void aRefusedConnectionIsReportedAsNeverConnected() throws Exception {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        ask(port, new RequestHead("GET", "/", new Headers()), NONE);
        assertEquals("closed false", next());
    }
}
