package myrtleladder.loadbalancer.server;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import myrtleladder.error.OperatorError.BadInput;
import myrtleladder.loadbalancer.policy.Balancer.Request;

/**
 * One client connection: its requests are handled one after another, and answered in their order.
 */
final class ClientSession extends SimpleChannelInboundHandler<FullHttpRequest>
        implements BalancerRuntime.Client {
    private static final System.Logger LOG = System.getLogger(ClientSession.class.getName());
    private static final String HEALTH = "/healthz";

    /**
     * How long a request may take to come whole. Peers that send none are owed an end within 3 s.
     */
    private static final long REQUEST_MS = 2_000;

    /** How long a connection that we end is still read, for its client to see the end first. */
    private static final long LINGER_MS = 250;

    /** How long a client may leave answers unread, before it counts as gone. */
    private static final long UNREAD_MS = 10_000;

    private final LoadBalancerServer server;
    private final BalancerRuntime driver;
    private final Channel channel;
    private final RequestReceiveTimeoutHandler deadline =
            new RequestReceiveTimeoutHandler(REQUEST_MS, this::requestOverdue);
    private final Deque<Received> waiting = new ArrayDeque<>();
    private long waitingBytes;
    private String current;
    private ScheduledFuture<?> unread;

    /** Came when all connections were taken. Those that came before are served all the same. */
    private boolean beyond;

    private boolean busy;
    private boolean lastRequest;
    private boolean stalled;
    private boolean ending;

    /**
     * A request that has been read, and when it can have come, in microseconds of the driver's
     * clock.
     */
    private record Received(FullHttpRequest message, long cameAt) {
        /**
         * What it takes of the memory for requests that wait: its body, and about this for the
         * rest.
         */
        private static final long OVERHEAD = 2_048;

        long bytes() {
            return OVERHEAD + message.content().readableBytes();
        }
    }

    ClientSession(LoadBalancerServer server, BalancerRuntime driver, Channel channel) {
        super(false);
        this.server = server;
        this.driver = driver;
        this.channel = channel;
    }

    /** Puts this session and what it needs before it into the channel's pipeline. */
    void install() {
        channel.pipeline()
                .addLast(
                        deadline,
                        new HttpServerCodec(),
                        new HttpObjectAggregator(UpstreamConnectionPool.MAX_BODY),
                        this);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        beyond = server.isFull();
        server.opened(this, channel.parent());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        forgetWaiting();
        stopWaitingForReader();
        if (current != null) {
            driver.gone(current);
            current = null;
        }
        server.closed(this, channel.parent());
    }

    @Override
    public boolean isConnected() {
        return channel.isActive();
    }

    // ---- Requests
    // --------------------------------------------------------------------------------------

    /**
     * Only takes note of a request: it is begun when all that has come in this turn of the loop is
     * read. The end of its connection may be behind it, or that of another one for which an attempt
     * would begin.
     */
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest message) {
        deadline.met();
        if (ending || lastRequest) {
            message.release();
            return;
        }
        Received received = new Received(message, driver.now() - driver.unread());
        waiting.add(received);
        account(received.bytes());
        if (!busy) {
            busy = true;
            server.notIdle(this);
            begin();
        }
    }

    /**
     * After a loop that was late, the next turn reads first: the end of this connection may have
     * come.
     */
    private void begin() {
        if (driver.isLate()) {
            // Set from a task, a timer comes behind the reads of the next turn.
            channel.eventLoop()
                    .execute(
                            () ->
                                    channel.eventLoop()
                                            .schedule(this::next, 0, TimeUnit.MILLISECONDS));
        } else {
            channel.eventLoop().execute(this::next);
        }
    }

    /**
     * Stops reading when too much waits; a client that sends more at once waits for its answers.
     */
    private void account(long bytes) {
        waitingBytes += bytes;
        server.account(bytes);
        channel.config()
                .setAutoRead(ending || waiting.isEmpty() || !server.holdsTooMuch(waitingBytes));
    }

    private void forgetWaiting() {
        for (Received received : waiting) {
            received.message().release();
        }
        waiting.clear();
        account(-waitingBytes);
    }

    private void next() {
        if (ending || !channel.isActive()) {
            return;
        }
        if (!channel.isWritable()) {
            stalled = true;
            return;
        }
        Received received = waiting.poll();
        if (received == null) {
            busy = false;
            server.idle(this);
            return;
        }
        account(-received.bytes());
        take(received);
    }

    private void take(Received received) {
        FullHttpRequest message = received.message();
        if (message.decoderResult().isFailure()) {
            // What follows on this connection can't be told apart any more, and would go
            // unanswered.
            lastRequest = true;
            reject(message, "malformed request");
            return;
        }
        lastRequest = !HttpUtil.isKeepAlive(message);
        Request request;
        try {
            QueryStringDecoder uri = new QueryStringDecoder(message.uri());
            // Throws on escapes that can't be decoded; from here that still ends in an answer.
            if (uri.path().equals(HEALTH)) {
                message.release();
                answer(
                        server.isHealthy()
                                ? HttpResponseStatus.OK
                                : HttpResponseStatus.SERVICE_UNAVAILABLE,
                        Unpooled.EMPTY_BUFFER,
                        0);
                return;
            }
            request = server.read(message, uri, driver.now() - received.cameAt());
        } catch (BadInput e) {
            reject(message, e.what());
            return;
        } catch (IllegalArgumentException e) {
            reject(message, e.getMessage());
            return;
        }
        if (server.refusesAll() || beyond && server.isOverfull()) {
            message.release();
            refused(0);
            return;
        }
        current = request.id();
        driver.request(request, message, this);
    }

    /**
     * A request that is still whole in our hands is answered first. A plain close is safe to cross.
     */
    private void requestOverdue() {
        if (!busy) {
            close();
        }
    }

    // ---- Answers
    // ---------------------------------------------------------------------------------------

    private void reject(FullHttpRequest message, String why) {
        message.release();
        answer(
                HttpResponseStatus.BAD_REQUEST,
                Unpooled.copiedBuffer(why + "\n", StandardCharsets.UTF_8),
                0);
    }

    @Override
    public void served(ByteBuf body) {
        answer(HttpResponseStatus.OK, body, 0);
    }

    @Override
    public void refused(long retryAfter) {
        answer(HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER, retryAfter);
    }

    @Override
    public void failed() {
        answer(HttpResponseStatus.GATEWAY_TIMEOUT, Unpooled.EMPTY_BUFFER, 0);
    }

    private void answer(HttpResponseStatus status, ByteBuf body, long retryAfter) {
        current = null;
        DefaultFullHttpResponse answer =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        if (retryAfter > 0) {
            answer.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            BigDecimal.valueOf(retryAfter, 6).toPlainString());
        }
        // Whatever has been read is owed its answer before the connection may end.
        boolean last = lastRequest || waiting.isEmpty() && server.closesWithAnswers();
        HttpUtil.setKeepAlive(answer, !last);
        channel.writeAndFlush(answer)
                .addListener(
                        written -> {
                            if (!written.isSuccess()) {
                                channel.close();
                            } else if (last) {
                                close();
                            }
                        });
        if (!last) {
            // Not from within the module's event: the next request on this connection is one of its
            // own.
            channel.eventLoop().execute(this::next);
        }
    }

    /**
     * A client that does not read its answers is given no more of them, and at last counts as gone.
     */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        stopWaitingForReader();
        if (!channel.isWritable()) {
            unread =
                    ctx.executor()
                            .schedule(() -> channel.close(), UNREAD_MS, TimeUnit.MILLISECONDS);
        } else if (stalled) {
            stalled = false;
            channel.eventLoop().execute(this::next);
        }
    }

    private void stopWaitingForReader() {
        if (unread != null) {
            unread.cancel(false);
            unread = null;
        }
    }

    // ---- The end
    // ---------------------------------------------------------------------------------------

    /**
     * Ends the connection between requests. Closed at once, with bytes unread or on their way, it
     * would be reset, and a reset takes along what the client has not read yet; so our side ends
     * first, and what still comes is read and dropped for a moment. A client resends a request that
     * crossed with the end.
     */
    void close() {
        if (ending) {
            return;
        }
        ending = true;
        deadline.met();
        forgetWaiting();
        server.leaving(this);
        if (!(channel instanceof DuplexChannel duplex)) {
            channel.close();
            return;
        }
        channel.pipeline().addFirst(new Discard());
        duplex.shutdownOutput()
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                channel.close();
                            }
                        });
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    /** Drops what comes. */
    private static final class Discard extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException || cause instanceof CodecException)) {
            LOG.log(System.Logger.Level.ERROR, "closed a client connection after a failure", cause);
        }
        channel.close();
    }
}
