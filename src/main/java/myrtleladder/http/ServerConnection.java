package myrtleladder.http;

import java.util.ArrayDeque;
import java.util.Arrays;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;

/**
 * A client's connection: the request that is being read, the one that is being answered, and the
 * pipelined ones behind it, which are answered in order (RFC 9112, section 9.3.2).
 *
 * <p>Threading: confined to the event loop.
 */
final class ServerConnection {
    /** Pipelined requests behind the current one; with more the connection is closed. */
    private static final int MAX_PIPELINED = 16;

    /** Value of {@link #receivingSinceMs} while no request is incomplete. */
    private static final long NOT_RECEIVING = Long.MAX_VALUE;

    private final HttpServer server;
    private final Connection<?> connection;
    private final ArrayDeque<HttpExchange> pipelined = new ArrayDeque<>();
    private HttpRequestPacket reading;
    private byte[] body = HttpExchange.NO_BYTES;
    private boolean tooLarge;
    private HttpExchange current;
    private long idleSinceMs;
    private long receivingSinceMs = NOT_RECEIVING;

    ServerConnection(HttpServer server, Connection<?> connection) {
        this.server = server;
        this.connection = connection;
        this.idleSinceMs = server.now();
    }

    void onBytesArrived() {
        if (receivingSinceMs == NOT_RECEIVING) {
            receivingSinceMs = server.now();
        }
    }

    void received(HttpRequestPacket request, HttpContent content, long maxBodyBytes) {
        if (reading == null) {
            reading = request;
            body = HttpExchange.NO_BYTES;
            tooLarge = false;
        }
        Buffer buffer = content.getContent();
        if (buffer != null && buffer.hasRemaining()) {
            append(buffer, maxBodyBytes);
        }
        if (content.isLast() || isUpgradeComplete()) {
            complete();
        }
    }

    /** Grizzly does not report the end of a request with Upgrade, so its length is compared. */
    private boolean isUpgradeComplete() {
        return reading.isUpgrade()
                && !reading.isChunked()
                && !tooLarge
                && body.length >= Math.max(0, reading.getContentLength());
    }

    private void append(Buffer buffer, long maxBodyBytes) {
        int more = buffer.remaining();
        if (tooLarge || body.length + more > maxBodyBytes) {
            tooLarge = true;
            return;
        }
        byte[] longer = Arrays.copyOf(body, body.length + more);
        buffer.get(longer, body.length, more);
        body = longer;
    }

    private void complete() {
        HttpExchange exchange = new HttpExchange(this, reading, body, tooLarge);
        reading = null;
        receivingSinceMs = NOT_RECEIVING;
        body = HttpExchange.NO_BYTES;
        if (current != null) {
            pipelined.add(exchange);
            if (pipelined.size() > MAX_PIPELINED) {
                connection.terminateSilently();
            }
            return;
        }
        begin(exchange);
    }

    private void begin(HttpExchange exchange) {
        current = exchange;
        if (!exchange.isWellFormed()) {
            exchange.respond(400, new Headers().add("Connection", "close"), HttpExchange.NO_BYTES);
            return;
        }
        if (exchange.isTooLarge()) {
            exchange.respond(413, new Headers(), HttpExchange.NO_BYTES);
            return;
        }
        handle(exchange);
    }

    /** Calls the handler; if it throws an exception, the client is answered all the same. */
    private void handle(HttpExchange exchange) {
        try {
            server.handle(exchange);
        } catch (RuntimeException | Error e) {
            String request = exchange.head().method() + " " + exchange.head().path();
            server.reportDefect("failed to handle " + request, e);
            exchange.fail();
        }
    }

    void answered(HttpExchange exchange, boolean keep) {
        if (exchange != current) {
            return;
        }
        current = null;
        idleSinceMs = server.now();
        if (!keep) {
            return;
        }
        HttpExchange next = pipelined.poll();
        if (next != null) {
            begin(next);
        }
    }

    void closed() {
        server.forget(this);
        pipelined.clear();
        HttpExchange ended = current;
        current = null;
        if (ended != null) {
            ended.gone();
        }
    }

    /** Returns whether a pipelined request waits behind the current one. */
    boolean hasPipelined() {
        return !pipelined.isEmpty();
    }

    boolean isIdle() {
        return current == null && receivingSinceMs == NOT_RECEIVING;
    }

    /** Returns when the first byte of the incomplete request onBytesArrived, in milliseconds. */
    long receivingSinceMs() {
        return current == null ? receivingSinceMs : NOT_RECEIVING;
    }

    long idleSinceMs() {
        return isIdle() ? idleSinceMs : server.now();
    }

    void closeIfIdle() {
        if (isIdle()) {
            connection.closeSilently();
        }
    }

    void terminate() {
        connection.terminateSilently();
    }

    Connection<?> connection() {
        return connection;
    }

    HttpServer server() {
        return server;
    }
}
