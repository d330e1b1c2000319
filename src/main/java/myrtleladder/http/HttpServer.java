package myrtleladder.http;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import myrtleladder.eventloop.EventLoop;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;

/**
 * An HTTP/1.1 server (RFC 9112) at one address. Passes each complete request to the handler as a
 * {@link ServerExchange}; answers malformed ones with 400, those with too large a body with 413,
 * and those whose handler throws an exception with 500.
 *
 * <p>Grizzly's own server is not used because it stops reading while a response is due, so that a
 * client that disconnects is not noticed.
 *
 * <p>Threading: confined to the event loop, which also calls the handler.
 */
public final class HttpServer {
    /** Longest request head. */
    private static final int MAX_HEADER_BYTES = 64 * 1_024;

    /** Most header fields of a request. */
    private static final int MAX_REQUEST_HEADERS = 100;

    /** Most header fields of a response; a forwarded one has some more than the upstream's. */
    static final int MAX_RESPONSE_HEADERS = 128;

    /** Longest request body until {@link #limitBody} is called. */
    private static final long DEFAULT_MAX_BODY_BYTES = 8L * 1_024 * 1_024;

    private static final Attribute<ServerConnection> STATE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("myrtleladder.server");

    private final EventLoop loop;
    private final Consumer<ServerExchange> handler;
    private final Set<ServerConnection> connections = new LinkedHashSet<>();
    private long maxBodyBytes = DEFAULT_MAX_BODY_BYTES;
    private boolean closing;
    private String keepAlive;

    /**
     * Listens at an address.
     *
     * @throws myrtleladder.eventloop.NetworkException if it can't be bound
     */
    @SuppressWarnings("deprecation") // no other constructor takes the limits
    public HttpServer(EventLoop loop, String host, int port, Consumer<ServerExchange> handler) {
        this.loop = loop;
        this.handler = handler;
        KeepAlive unlimited = new KeepAlive();
        unlimited.setIdleTimeoutInSeconds(-1);
        unlimited.setMaxRequestsCount(-1);
        HttpServerFilter codec =
                new HttpServerFilter(
                        true,
                        MAX_HEADER_BYTES,
                        null,
                        unlimited,
                        null,
                        MAX_REQUEST_HEADERS,
                        MAX_RESPONSE_HEADERS);
        codec.setAllowPayloadForUndefinedHttpMethods(true);
        loop.bind(
                host,
                port,
                FilterChainBuilder.stateless()
                        .add(new TransportFilter())
                        .add(new ArrivalFilter())
                        .add(codec)
                        .add(new RequestFilter())
                        .build());
    }

    /** Limits the body of a request; a larger one is answered with 413. */
    public void limitBody(long bytes) {
        maxBodyBytes = bytes;
    }

    /** Sets the value of the Keep-Alive field of all responses, null for none. */
    public void announceKeepAlive(String value) {
        keepAlive = value;
    }

    /** Closes idle connections now, and the others after their current response. */
    public void closeGracefully() {
        closing = true;
        for (ServerConnection connection : copyOfConnections()) {
            connection.closeIfIdle();
        }
    }

    /**
     * Closes connections that exceed a limit.
     *
     * @param maxIdleMs longest time without a request
     * @param maxReceiveMs longest time from the first to the last byte of a request
     */
    public void closeIdle(long maxIdleMs, long maxReceiveMs) {
        long now = loop.now();
        for (ServerConnection connection : copyOfConnections()) {
            if (now - connection.receivingSinceMs() > maxReceiveMs) {
                connection.terminate();
            } else if (now - connection.idleSinceMs() > maxIdleMs) {
                connection.closeIfIdle();
            }
        }
    }

    /** Returns the number of connections with an unfinished request or response. */
    public int unanswered() {
        int count = 0;
        for (ServerConnection connection : connections) {
            count += connection.isIdle() ? 0 : 1;
        }
        return count;
    }

    long now() {
        return loop.now();
    }

    void reportDefect(String description, Throwable defect) {
        loop.reportDefect(description, defect);
    }

    boolean isClosing() {
        return closing;
    }

    String keepAlive() {
        return keepAlive;
    }

    void forget(ServerConnection connection) {
        connections.remove(connection);
    }

    void handle(ServerExchange exchange) {
        handler.accept(exchange);
    }

    private List<ServerConnection> copyOfConnections() {
        return new ArrayList<>(connections);
    }

    private ServerConnection stateOf(Connection<?> connection) {
        ServerConnection state = STATE.get(connection);
        if (state == null) {
            state = new ServerConnection(this, connection);
            STATE.set(connection, state);
            connections.add(state);
        }
        return state;
    }

    /** Notes the arrival of bytes before they are parsed. */
    private final class ArrivalFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) throws IOException {
            stateOf(ctx.getConnection()).onBytesArrived();
            return ctx.getInvokeAction();
        }
    }

    /** Passes request content and lifecycle events to their connection. */
    private final class RequestFilter extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext ctx) throws IOException {
            stateOf(ctx.getConnection());
            return ctx.getInvokeAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext ctx) throws IOException {
            HttpContent content = ctx.getMessage();
            ServerConnection state = stateOf(ctx.getConnection());
            HttpRequestPacket request = (HttpRequestPacket) content.getHttpHeader();
            state.received(request, content, maxBodyBytes);
            return ctx.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext ctx) throws IOException {
            stateOf(ctx.getConnection()).closed();
            return ctx.getInvokeAction();
        }

        @Override
        public void exceptionOccurred(FilterChainContext ctx, Throwable error) {
            ctx.getConnection().terminateSilently();
        }
    }
}
