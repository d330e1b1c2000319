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
 * An HTTP/1.1 server at one address; each whole request is handed on as a {@link ServerExchange}.
 */
public final class HttpServer {
    private static final int MOST_HEADER_BYTES = 64 * 1_024;
    private static final int MOST_HEADERS = 100;
    private static final Attribute<ServerConnection> STATE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("myrtleladder.server");

    private final EventLoop loop;
    private final Consumer<ServerExchange> handler;
    private final Set<ServerConnection> connections = new LinkedHashSet<>();
    private long mostBodyBytes = 8L * 1_024 * 1_024;
    private boolean closing;
    private String keepAlive;

    /** Listens at an address. */
    @SuppressWarnings(
            "deprecation") // the library offers no other constructor that takes the bounds
    public HttpServer(EventLoop loop, String host, int port, Consumer<ServerExchange> handler) {
        this.loop = loop;
        this.handler = handler;
        KeepAlive forever = new KeepAlive();
        forever.setIdleTimeoutInSeconds(-1);
        forever.setMaxRequestsCount(-1);
        HttpServerFilter codec =
                new HttpServerFilter(
                        true, MOST_HEADER_BYTES, null, forever, null, MOST_HEADERS, MOST_HEADERS);
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

    /** Bounds the body of a request; a larger one is answered with 413. */
    public void limitBody(long bytes) {
        mostBodyBytes = bytes;
    }

    /** Sets the value of the Keep-Alive field of all answers, null for none. */
    public void announceKeepAlive(String value) {
        keepAlive = value;
    }

    /** From now on each answer closes its connection, and so do connections at rest. */
    public void closeGracefully() {
        closing = true;
        for (ServerConnection connection : copyOfConnections()) {
            connection.closeIfIdle();
        }
    }

    /** Closes connections at rest for too long, and those whose request takes too long to come. */
    public void closeIdle(long longestRest, long longestReceipt) {
        long now = loop.now();
        for (ServerConnection connection : copyOfConnections()) {
            if (now - connection.receivingSince() > longestReceipt) {
                connection.terminate();
            } else if (now - connection.restingSince() > longestRest) {
                connection.closeIfIdle();
            }
        }
    }

    /** Number of requests that still wait for the end of their answer. */
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

    boolean closing() {
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

    /** Notes that bytes have come, before anything is made of them. */
    private final class ArrivalFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) throws IOException {
            stateOf(ctx.getConnection()).arrived();
            return ctx.getInvokeAction();
        }
    }

    /** Collects the pieces of a request and follows the connection's life. */
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
            state.received(request, content, mostBodyBytes);
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
