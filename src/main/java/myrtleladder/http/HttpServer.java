package myrtleladder.http;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import myrtleladder.eventloop.EventLoop;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;

/**
 * An HTTP/1.1 server (RFC 9112) at one address. Passes each complete request to the handler as a
 * {@link ServerExchange}; answers malformed ones with 400, those that exceed {@link RequestLimits}
 * with 413 or 431, those for which {@link ServerResources} have no memory with 503, and those whose
 * handler throws an exception with 500.
 *
 * <p>Grizzly's own server is not used because it stops reading while a response is due, so that a
 * client that disconnects is not noticed.
 *
 * <p>Threading: confined to the event loop, which also calls the handler.
 */
public final class HttpServer {
    /**
     * Longest request head, chunk head or trailer that the parser takes, whatever is configured.
     */
    private static final int MAX_PARSED_BYTES = 1_024 * 1_024;

    /** Most header fields of a request. */
    private static final int MAX_REQUEST_HEADERS = 100;

    /** Most header fields of a response; a forwarded one has some more than the upstream's. */
    static final int MAX_RESPONSE_HEADERS = 128;

    private static final Attribute<ServerConnection> STATE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("myrtleladder.server");

    private final EventLoop loop;
    private final int port;
    private final Consumer<ServerExchange> handler;
    private final Set<ServerConnection> connections = new LinkedHashSet<>();
    private final ServerResources resources;
    private final Supplier<RequestLimits> currentLimits;
    private RequestLimits limits;
    private boolean closing;
    private String keepAlive;

    /**
     * Listens at an address with default limits and resources of its own.
     *
     * @throws myrtleladder.eventloop.NetworkException if it can't be bound
     */
    public HttpServer(EventLoop loop, String host, int port, Consumer<ServerExchange> handler) {
        this(
                loop,
                host,
                port,
                () -> RequestLimits.DEFAULT,
                new ServerResources(loop, ServerResources.DEFAULT_DESCRIPTORS, line -> {}),
                handler);
    }

    /**
     * Listens at an address.
     *
     * @param currentLimits returns the limits, on the event loop; called now and then
     * @param resources what the clients of this server and of others may use together
     * @throws myrtleladder.eventloop.NetworkException if it can't be bound
     */
    public HttpServer(
            EventLoop loop,
            String host,
            int port,
            Supplier<RequestLimits> currentLimits,
            ServerResources resources,
            Consumer<ServerExchange> handler) {
        this.loop = loop;
        this.port = port;
        this.handler = handler;
        this.resources = resources;
        this.currentLimits = currentLimits;
        this.limits = currentLimits.get();
        resources.add(this);
        loop.bind(
                host,
                port,
                FilterChainBuilder.stateless()
                        .add(new TransportFilter())
                        .add(new ArrivalFilter())
                        .add(new RequestCodec())
                        .add(new RequestFilter())
                        .build());
    }

    private static KeepAlive unlimitedKeepAlive() {
        KeepAlive unlimited = new KeepAlive();
        unlimited.setIdleTimeoutInSeconds(-1);
        unlimited.setMaxRequestsCount(-1);
        return unlimited;
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

    /** Reads the limits anew and closes connections that exceed them. */
    void closeExpired() {
        limits = currentLimits.get();
        closeIdle(limits.idleTimeoutMs(), limits.receiveTimeoutMs());
    }

    /**
     * Closes connections that exceed a limit.
     *
     * @param maxIdleMs longest time without a request
     * @param maxReceiveMs longest time from the first to the last byte of a request
     */
    void closeIdle(long maxIdleMs, long maxReceiveMs) {
        long nowMs = loop.now();
        for (ServerConnection connection : copyOfConnections()) {
            connection.closeIfExpired(nowMs, maxIdleMs, maxReceiveMs);
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

    /** Returns the port at which this server listens. */
    int port() {
        return port;
    }

    RequestLimits limits() {
        return limits;
    }

    ServerResources resources() {
        return resources;
    }

    long now() {
        return loop.now();
    }

    void execute(Runnable task) {
        loop.execute(task);
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
            resources.connected(state);
        }
        return state;
    }

    /** Reports bytes before they are parsed, and discards those that nobody wants. */
    private final class ArrivalFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) throws IOException {
            Buffer buffer = ctx.getMessage();
            boolean isWanted = stateOf(ctx.getConnection()).onBytesArrived(buffer.remaining());
            return isWanted ? ctx.getInvokeAction() : ctx.getStopAction();
        }
    }

    /** Parses requests and reports each head before the body has arrived. */
    private final class RequestCodec extends HttpServerFilter {
        @SuppressWarnings("deprecation") // no other constructor takes the limits
        RequestCodec() {
            super(
                    true,
                    MAX_PARSED_BYTES,
                    null,
                    unlimitedKeepAlive(),
                    null,
                    MAX_REQUEST_HEADERS,
                    MAX_RESPONSE_HEADERS);
            setAllowPayloadForUndefinedHttpMethods(true);
        }

        @Override
        protected boolean onHttpHeaderParsed(
                HttpHeader header, Buffer buffer, FilterChainContext ctx) {
            boolean wasUpgraded = super.onHttpHeaderParsed(header, buffer, ctx);
            stateOf(ctx.getConnection()).onHeadParsed((HttpRequestPacket) header);
            return wasUpgraded;
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
            state.received(request, content);
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
