package myrtleladder.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import myrtleladder.eventloop.EventLoop;
import myrtleladder.eventloop.NetworkException;
import myrtleladder.result.ResultCode;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;

/**
 * The client's side of one HTTP/1.1 connection (RFC 9112), with one request in flight at most: no
 * pipelining. Informational responses (1xx) are skipped.
 *
 * <p>Threading: confined to the event loop. The body of a request belongs to the connection once
 * sent; arrays handed to the listener belong to the listener.
 */
public final class HttpConnection {
    private static final Attribute<HttpConnection> STATE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("myrtleladder.client");

    /** Longest response head. */
    private static final int MAX_HEADER_BYTES = 64 * 1_024;

    /** A longer body is written apart from its head: the library copies what it writes together. */
    static final int MAX_COMBINED_BODY_BYTES = 16 * 1_024;

    private static final FilterChain CHAIN =
            FilterChainBuilder.stateless()
                    .add(new TransportFilter())
                    .add(new HttpClientFilter(MAX_HEADER_BYTES))
                    .add(new ResponseFilter())
                    .build();

    /** Lower statuses are informational: another response follows (RFC 9110, section 15.2). */
    private static final int FIRST_FINAL_STATUS = 200;

    private enum State {
        CONNECTING,
        IDLE,
        AWAITING_HEAD,
        READING_BODY,
        CLOSED
    }

    /** Receives the events of a connection, on the event loop. */
    public interface Listener {
        /** The connection is established and takes a request. */
        void connected();

        /** The final response head arrived. */
        void head(ResponseHead head);

        /** Bytes of the response body arrived, without chunked coding. */
        void body(byte[] bytes);

        /**
         * The response is complete.
         *
         * @param reusable whether the connection takes another request; else it is closed
         */
        void end(boolean reusable);

        /**
         * The connection could not be established, or closed while idle or before the response was
         * complete. Not called after {@link HttpConnection#close}.
         */
        void closed(boolean everConnected);
    }

    private final Listener listener;
    private Connection<?> connection;
    private State state = State.CONNECTING;
    private boolean reusable = true;
    private boolean framed;

    private HttpConnection(Listener listener) {
        this.listener = listener;
    }

    /**
     * Connects to an address that another process reported; one that can't be parsed fails as one
     * at which nobody listens.
     */
    public static HttpConnection connect(EventLoop loop, String address, Listener listener) {
        Optional<NetworkAddress> parsed = NetworkAddress.parse(address);
        if (parsed.isPresent()) {
            return connect(loop, parsed.get().host(), parsed.get().port(), listener);
        }
        HttpConnection failed = new HttpConnection(listener);
        loop.execute(failed::failedToOpen);
        return failed;
    }

    /** Connects; the listener is called with the result, never within this call. */
    @SuppressWarnings("rawtypes") // the library's connector names no type
    public static HttpConnection connect(EventLoop loop, String host, int port, Listener listener) {
        HttpConnection created = new HttpConnection(listener);
        TCPNIOConnectorHandler connector =
                TCPNIOConnectorHandler.builder(loop.transport()).processor(CHAIN).build();
        connector.connect(
                new InetSocketAddress(host, port),
                new EmptyCompletionHandler<>() {
                    @Override
                    public void completed(Connection opened) {
                        loop.execute(() -> created.opened(opened));
                    }

                    @Override
                    public void failed(Throwable error) {
                        loop.execute(created::failedToOpen);
                    }
                });
        return created;
    }

    private void opened(Connection<?> opened) {
        if (state == State.CLOSED) {
            opened.terminateSilently();
            return;
        }
        connection = opened;
        STATE.set(opened, this);
        if (!opened.isOpen()) {
            onConnectionClosed();
            return;
        }
        transitionTo(State.IDLE);
        listener.connected();
    }

    private void failedToOpen() {
        if (state != State.CLOSED) {
            transitionTo(State.CLOSED);
            listener.closed(false);
        }
    }

    private void onConnectionClosed() {
        if (state != State.CLOSED) {
            transitionTo(State.CLOSED);
            listener.closed(true);
        }
    }

    private void transitionTo(State next) {
        state = next;
    }

    /** Returns whether a request can be sent now. */
    public boolean ready() {
        return state == State.IDLE && connection.isOpen();
    }

    /**
     * Sends a request with its complete body.
     *
     * @throws NetworkException if the connection is closed or a response is still due
     */
    public void send(RequestHead head, byte[] body) {
        if (!ready()) {
            throw new NetworkException(
                    ResultCode.PEER_FAILED, "the connection takes no request now", null);
        }
        HttpRequestPacket.Builder builder = HttpRequestPacket.builder();
        builder.method(head.method()).uri(head.target()).protocol(Protocol.HTTP_1_1);
        head.headers()
                .forEach(
                        (name, value) -> {
                            if (name.equalsIgnoreCase("Host")) {
                                builder.host(value);
                            } else if (name.equalsIgnoreCase("Content-Type")) {
                                builder.contentType(value);
                            } else {
                                builder.header(name, value);
                            }
                        });
        boolean hasBody = body.length > 0 || !head.method().equals("GET");
        if (hasBody) {
            builder.contentLength(body.length);
        }
        transitionTo(State.AWAITING_HEAD);
        HttpRequestPacket request = builder.build();
        Buffer content = body.length == 0 ? Buffers.EMPTY_BUFFER : Buffers.wrap(null, body);
        if (body.length > MAX_COMBINED_BODY_BYTES) {
            connection.write(request);
        }
        connection.write(HttpContent.builder(request).content(content).last(true).build());
    }

    /** Closes the connection; the listener is not called any more. */
    public void close() {
        if (state != State.CLOSED) {
            transitionTo(State.CLOSED);
            if (connection != null) {
                connection.terminateSilently();
            }
        }
    }

    private void received(HttpContent content) {
        if (state != State.AWAITING_HEAD && state != State.READING_BODY) {
            terminate();
            return;
        }
        HttpResponsePacket response = (HttpResponsePacket) content.getHttpHeader();
        if (state == State.AWAITING_HEAD) {
            if (response.getStatus() < FIRST_FINAL_STATUS) {
                return;
            }
            transitionTo(State.READING_BODY);
            framed = response.isChunked() || response.getContentLength() >= 0;
            Headers headers = Headers.copyOf(response.getHeaders());
            reusable = framed && !"close".equalsIgnoreCase(headers.get("Connection"));
            listener.head(new ResponseHead(response.getStatus(), headers, framed));
        }
        Buffer buffer = content.getContent();
        if (state == State.READING_BODY && buffer != null && buffer.hasRemaining()) {
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            listener.body(bytes);
        }
        if (state == State.READING_BODY && content.isLast()) {
            finish(HttpContent.isBroken(content));
        }
    }

    private void finish(boolean broken) {
        if (broken || !framed) {
            terminate();
            return;
        }
        if (reusable) {
            transitionTo(State.IDLE);
            listener.end(true);
            return;
        }
        transitionTo(State.CLOSED);
        connection.closeSilently();
        listener.end(false);
    }

    private void terminate() {
        if (state != State.CLOSED) {
            transitionTo(State.CLOSED);
            connection.terminateSilently();
            listener.closed(true);
        }
    }

    /** Passes response content to its connection. */
    private static final class ResponseFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) throws IOException {
            HttpContent content = ctx.getMessage();
            HttpConnection state = STATE.get(ctx.getConnection());
            if (state == null) {
                ctx.getConnection().terminateSilently();
            } else {
                state.received(content);
            }
            return ctx.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext ctx) throws IOException {
            HttpConnection state = STATE.get(ctx.getConnection());
            if (state != null) {
                state.onConnectionClosed();
            }
            return ctx.getInvokeAction();
        }

        @Override
        public void exceptionOccurred(FilterChainContext ctx, Throwable error) {
            HttpConnection state = STATE.get(ctx.getConnection());
            if (state != null) {
                state.terminate();
            } else {
                ctx.getConnection().terminateSilently();
            }
        }
    }
}
