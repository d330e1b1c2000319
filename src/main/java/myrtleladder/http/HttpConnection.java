package myrtleladder.http;

import java.io.IOException;
import java.net.InetSocketAddress;
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

/** A client's side of one connection, with one request under way at most. */
public final class HttpConnection {
    private static final Attribute<HttpConnection> STATE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("myrtleladder.client");
    private static final FilterChain CHAIN =
            FilterChainBuilder.stateless()
                    .add(new TransportFilter())
                    .add(new HttpClientFilter(64 * 1_024))
                    .add(new AnswerFilter())
                    .build();

    private enum State {
        CONNECTING,
        IDLE,
        AWAITING_HEAD,
        READING_BODY,
        CLOSED
    }

    /** What happens to a connection and its request. Each call comes on the loop. */
    public interface Listener {
        /** The connection stands. */
        void connected();

        /** The head of the answer has come. */
        void head(ResponseHead head);

        /** A piece of the answer's body has come. */
        void body(byte[] bytes);

        /** The answer is whole; {@code reusable} says that the connection takes another request. */
        void end(boolean reusable);

        /** The connection ended, before it stood or while an answer was owed, or at rest. */
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

    /** Opens a connection; the listener hears how that went. */
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
            hasClosed();
            return;
        }
        become(State.IDLE);
        listener.connected();
    }

    private void failedToOpen() {
        if (state != State.CLOSED) {
            become(State.CLOSED);
            listener.closed(false);
        }
    }

    private void hasClosed() {
        if (state != State.CLOSED) {
            become(State.CLOSED);
            listener.closed(true);
        }
    }

    private void become(State next) {
        state = next;
    }

    /** Whether a request can be sent now. */
    public boolean ready() {
        return state == State.IDLE && connection.isOpen();
    }

    /** Sends a request with its whole body. */
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
        become(State.AWAITING_HEAD);
        HttpRequestPacket request = builder.build();
        Buffer content = body.length == 0 ? Buffers.EMPTY_BUFFER : Buffers.wrap(null, body);
        connection.write(HttpContent.builder(request).content(content).last(true).build());
    }

    /** Ends the connection; the listener hears nothing more. */
    public void close() {
        if (state != State.CLOSED) {
            become(State.CLOSED);
            if (connection != null) {
                connection.terminateSilently();
            }
        }
    }

    private void received(HttpContent content) {
        if (state != State.AWAITING_HEAD && state != State.READING_BODY) {
            drop();
            return;
        }
        HttpResponsePacket response = (HttpResponsePacket) content.getHttpHeader();
        if (state == State.AWAITING_HEAD) {
            if (response.getStatus() < 200) {
                return;
            }
            become(State.READING_BODY);
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
            drop();
            return;
        }
        if (reusable) {
            become(State.IDLE);
            listener.end(true);
            return;
        }
        become(State.CLOSED);
        connection.closeSilently();
        listener.end(false);
    }

    private void drop() {
        if (state != State.CLOSED) {
            become(State.CLOSED);
            connection.terminateSilently();
            listener.closed(true);
        }
    }

    /** Hands the pieces of answers to their connection. */
    private static final class AnswerFilter extends BaseFilter {
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
                state.hasClosed();
            }
            return ctx.getInvokeAction();
        }

        @Override
        public void exceptionOccurred(FilterChainContext ctx, Throwable error) {
            HttpConnection state = STATE.get(ctx.getConnection());
            if (state != null) {
                state.drop();
            } else {
                ctx.getConnection().terminateSilently();
            }
        }
    }
}
