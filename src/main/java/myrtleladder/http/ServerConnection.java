package myrtleladder.http;

import java.util.ArrayDeque;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;

/**
 * A client's connection: the request being read, the one being answered, and those that wait behind
 * it.
 */
final class ServerConnection {
    private static final int MOST_WAITING = 16;
    private static final long NOT_RECEIVING = Long.MAX_VALUE;

    private final HttpServer server;
    private final Connection<?> connection;
    private final ArrayDeque<HttpExchange> waiting = new ArrayDeque<>();
    private HttpRequestPacket reading;
    private byte[] body = HttpExchange.NO_BYTES;
    private boolean tooLarge;
    private HttpExchange current;
    private long restingSince;
    private long receivingSince = NOT_RECEIVING;

    ServerConnection(HttpServer server, Connection<?> connection) {
        this.server = server;
        this.connection = connection;
        this.restingSince = server.now();
    }

    void arrived() {
        if (receivingSince == NOT_RECEIVING) {
            receivingSince = server.now();
        }
    }

    void received(HttpRequestPacket request, HttpContent content, long mostBodyBytes) {
        if (reading == null) {
            reading = request;
            body = HttpExchange.NO_BYTES;
            tooLarge = false;
        }
        Buffer buffer = content.getContent();
        if (buffer != null && buffer.hasRemaining()) {
            append(buffer, mostBodyBytes);
        }
        if (content.isLast() || whole()) {
            complete();
        }
    }

    /** The library does not tell the end of a request that offers to upgrade the connection. */
    private boolean whole() {
        return reading.isUpgrade()
                && !reading.isChunked()
                && !tooLarge
                && body.length >= Math.max(0, reading.getContentLength());
    }

    private void append(Buffer buffer, long mostBodyBytes) {
        int more = buffer.remaining();
        if (tooLarge || body.length + more > mostBodyBytes) {
            tooLarge = true;
            return;
        }
        byte[] longer = java.util.Arrays.copyOf(body, body.length + more);
        buffer.get(longer, body.length, more);
        body = longer;
    }

    private void complete() {
        HttpExchange exchange = new HttpExchange(this, reading, body, tooLarge);
        reading = null;
        receivingSince = NOT_RECEIVING;
        body = HttpExchange.NO_BYTES;
        if (current != null) {
            waiting.add(exchange);
            if (waiting.size() > MOST_WAITING) {
                connection.terminateSilently();
            }
            return;
        }
        begin(exchange);
    }

    private void begin(HttpExchange exchange) {
        current = exchange;
        if (!exchange.wellFormed()) {
            exchange.respond(400, new Headers().add("Connection", "close"), HttpExchange.NO_BYTES);
            return;
        }
        if (exchange.tooLarge()) {
            exchange.respond(413, new Headers(), HttpExchange.NO_BYTES);
            return;
        }
        server.handle(exchange);
    }

    void answered(HttpExchange exchange, boolean keep) {
        if (exchange != current) {
            return;
        }
        current = null;
        restingSince = server.now();
        if (!keep) {
            return;
        }
        HttpExchange next = waiting.poll();
        if (next != null) {
            begin(next);
        }
    }

    void closed() {
        server.forget(this);
        waiting.clear();
        HttpExchange ended = current;
        current = null;
        if (ended != null) {
            ended.gone();
        }
    }

    /** Whether a request that was read waits behind the current one. */
    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    boolean isIdle() {
        return current == null && receivingSince == NOT_RECEIVING;
    }

    /** When the first byte of a request came that is not whole yet. */
    long receivingSince() {
        return current == null ? receivingSince : NOT_RECEIVING;
    }

    long restingSince() {
        return isIdle() ? restingSince : server.now();
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
