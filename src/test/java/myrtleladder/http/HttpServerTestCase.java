package myrtleladder.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import myrtleladder.eventloop.EventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A server on an event loop of its own, and clients with plain sockets. */
abstract class HttpServerTestCase {
    static final String HOST = "127.0.0.1";
    private static final int CLIENT_TIMEOUT_MS = 10_000;
    static final byte[] NO_BYTES = {};

    final LinkedBlockingQueue<String> handled = new LinkedBlockingQueue<>();
    final LinkedBlockingQueue<String> log = new LinkedBlockingQueue<>();
    EventLoop loop;
    ServerResources resources;
    HttpServer server;
    int port;

    @BeforeEach
    void start() {
        loop = new EventLoop();
        loop.start();
    }

    @AfterEach
    void stop() {
        loop.stop();
    }

    /** Starts a server with the limits of the test. */
    void serve(
            RequestLimits limits, long heapBytes, int descriptors, Consumer<ServerExchange> handler)
            throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            port = free.getLocalPort();
        }
        resources = new ServerResources(loop, descriptors, heapBytes, log::add);
        Consumer<ServerExchange> recording =
                exchange -> {
                    handled.add(exchange.head().target());
                    handler.accept(exchange);
                };
        server = new HttpServer(loop, HOST, port, () -> limits, resources, recording);
        await(() -> resources.capacityBytes() > limits.maxBodyBytes());
    }

    static void answer(ServerExchange exchange) {
        exchange.respond(200, new Headers(), NO_BYTES);
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(HOST, port);
        socket.setSoTimeout(CLIENT_TIMEOUT_MS);
        return socket;
    }

    static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(ISO_8859_1));
    }

    static String post(String target, int length, int sent) {
        return "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n".formatted(target, length)
                + "b".repeat(sent);
    }

    static String get(String target) {
        return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    /** Reads until the connection ends. */
    static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
    }

    static String readHead(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("ended after: " + text);
            }
            text.append((char) next);
        }
        return text.toString();
    }

    /** Waits until a condition holds on the event loop. */
    void await(BooleanSupplier condition) {
        CompletableFuture<Void> holds = new CompletableFuture<>();
        loop.execute(() -> check(condition, holds));
        holds.orTimeout(CLIENT_TIMEOUT_MS, TimeUnit.MILLISECONDS).join();
    }

    private void check(BooleanSupplier condition, CompletableFuture<Void> holds) {
        if (condition.getAsBoolean()) {
            holds.complete(null);
        } else {
            loop.schedule(10, () -> check(condition, holds));
        }
    }

    void awaitNothingHeld() {
        await(() -> resources.heldBytes() == 0 && resources.connections() == 0);
    }
}
