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
import myrtleladder.error.OperatorError.InvalidInput;
import myrtleladder.loadbalancer.policy.Request;

/**
 * One client connection, and the last handler of its pipeline. Pipelined requests are processed one
 * after another and answered in order (RFC 9112, 9.3.2). The session owns the reference to each
 * queued message until it passes the message to the balancer.
 *
 * <p>Confined to the event loop.
 */
final class ClientSession extends SimpleChannelInboundHandler<FullHttpRequest>
        implements ResponseObserver {
    private static final System.Logger LOG = System.getLogger(ClientSession.class.getName());
    private static final String HEALTH_PATH = "/healthz";

    /**
     * Maximum time to receive a request. Connections without a request must be closed within 3 s.
     */
    private static final long RECEIVE_TIMEOUT_MS = 2_000;

    /**
     * How long a connection is read after its output was shut down, so that the client sees that.
     */
    private static final long LINGER_MS = 250;

    /** Time after which the connection of a client that does not read responses is closed. */
    private static final long WRITE_TIMEOUT_MS = 10_000;

    private final LoadBalancerServer server;
    private final ClientSessions sessions;
    private final BalancerRuntime balancer;
    private final Channel channel;
    private final RequestReceiveTimeoutHandler receiveTimeout =
            new RequestReceiveTimeoutHandler(RECEIVE_TIMEOUT_MS, this::receiveTimedOut);
    private final Deque<PendingRequest> pendingRequests = new ArrayDeque<>();
    private long pendingBytes;

    /** Id of the request that the balancer is processing, or null. */
    private String currentRequestId;

    /** Null while the channel is writable. */
    private ScheduledFuture<?> writeTimeout;

    /** Whether the connection was accepted when the connection limit was already reached. */
    private boolean isBeyondLimit;

    private boolean isProcessing;
    private boolean isLastRequest;
    private boolean isWaitingForWritability;
    private boolean isClosing;

    /**
     * A request that has been read and is queued.
     *
     * @param receivedUs earliest time at which the request may have arrived, by the balancer's
     *     clock
     */
    private record PendingRequest(FullHttpRequest message, long receivedUs) {
        /** Memory per request in addition to its body, in bytes. */
        private static final long OVERHEAD_BYTES = 2_048;

        long bytes() {
            return OVERHEAD_BYTES + message.content().readableBytes();
        }
    }

    ClientSession(
            LoadBalancerServer server,
            ClientSessions sessions,
            BalancerRuntime balancer,
            Channel channel) {
        super(false);
        this.server = server;
        this.sessions = sessions;
        this.balancer = balancer;
        this.channel = channel;
    }

    /** Adds this session, and the handlers that it needs before it, to the channel's pipeline. */
    void initPipeline() {
        channel.pipeline()
                .addLast(
                        receiveTimeout,
                        new HttpServerCodec(),
                        new HttpObjectAggregator(UpstreamConnectionPool.MAX_BODY_BYTES),
                        this);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        isBeyondLimit = sessions.isFull();
        sessions.opened(this, channel.parent());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        releasePending();
        cancelWriteTimeout();
        if (currentRequestId != null) {
            balancer.clientDisconnected(currentRequestId);
            currentRequestId = null;
        }
        server.sessionClosed(this, channel.parent());
    }

    @Override
    public boolean isConnected() {
        return channel.isActive();
    }

    /**
     * Only queues the request. It is processed after all reads of this event loop iteration,
     * because these may reveal that this client, or the client of another request about to be sent,
     * has disconnected.
     */
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest message) {
        receiveTimeout.requestReceived();
        if (isClosing || isLastRequest) {
            message.release();
            return;
        }
        PendingRequest request =
                new PendingRequest(message, balancer.clock().nowUs() - balancer.lag().lagUs());
        pendingRequests.add(request);
        addPendingBytes(request.bytes());
        if (!isProcessing) {
            isProcessing = true;
            sessions.busy(this);
            scheduleFirst();
        }
    }

    /**
     * Schedules the first queued request. If the event loop lags, the next iteration reads first,
     * since the client may have disconnected in the meantime.
     */
    private void scheduleFirst() {
        if (balancer.lag().isLagging()) {
            // A timer scheduled from a task runs after the reads of the next iteration.
            channel.eventLoop()
                    .execute(
                            () ->
                                    channel.eventLoop()
                                            .schedule(this::processNext, 0, TimeUnit.MILLISECONDS));
        } else {
            channel.eventLoop().execute(this::processNext);
        }
    }

    /** Adjusts the size of the queued requests, and stops reading while it exceeds the limit. */
    private void addPendingBytes(long bytes) {
        pendingBytes += bytes;
        sessions.addPendingBytes(bytes);
        channel.config()
                .setAutoRead(
                        isClosing
                                || pendingRequests.isEmpty()
                                || !sessions.isOverPendingLimit(pendingBytes));
    }

    private void releasePending() {
        for (PendingRequest request : pendingRequests) {
            request.message().release();
        }
        pendingRequests.clear();
        addPendingBytes(-pendingBytes);
    }

    private void processNext() {
        if (isClosing || !channel.isActive()) {
            return;
        }
        if (!channel.isWritable()) {
            isWaitingForWritability = true;
            return;
        }
        PendingRequest request = pendingRequests.poll();
        if (request == null) {
            isProcessing = false;
            sessions.idle(this);
            return;
        }
        addPendingBytes(-request.bytes());
        process(request);
    }

    private void process(PendingRequest pending) {
        FullHttpRequest message = pending.message();
        if (message.decoderResult().isFailure()) {
            // The start of the next request on this connection can't be found.
            isLastRequest = true;
            respondBadRequest(message, "malformed request");
            return;
        }
        isLastRequest = !HttpUtil.isKeepAlive(message);
        Request request;
        try {
            QueryStringDecoder uri = new QueryStringDecoder(message.uri());
            // path() throws on an invalid percent escape, which is handled below.
            if (uri.path().equals(HEALTH_PATH)) {
                message.release();
                respondHealth();
                return;
            }
            long waitedUs = balancer.clock().nowUs() - pending.receivedUs();
            request = server.parse(message, uri, waitedUs);
        } catch (InvalidInput e) {
            respondBadRequest(message, e.description());
            return;
        } catch (IllegalArgumentException e) {
            respondBadRequest(message, e.getMessage());
            return;
        }
        if (server.rejectsRequests() || (isBeyondLimit && sessions.isOverLimit())) {
            message.release();
            onRejected(0);
            return;
        }
        currentRequestId = request.id();
        balancer.dispatch(request, message, this);
    }

    /**
     * Closes the connection unless a received request is still to be answered. Closing can race
     * with the next request.
     */
    private void receiveTimedOut() {
        if (!isProcessing) {
            close();
        }
    }

    private void respondHealth() {
        respond(
                server.isHealthy() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                Unpooled.EMPTY_BUFFER,
                0);
    }

    private void respondBadRequest(FullHttpRequest message, String reason) {
        message.release();
        respond(
                HttpResponseStatus.BAD_REQUEST,
                Unpooled.copiedBuffer(reason + "\n", StandardCharsets.UTF_8),
                0);
    }

    @Override
    public void onSuccess(ByteBuf body) {
        respond(HttpResponseStatus.OK, body, 0);
    }

    @Override
    public void onRejected(long retryAfterUs) {
        respond(HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER, retryAfterUs);
    }

    @Override
    public void onFailure() {
        respond(HttpResponseStatus.GATEWAY_TIMEOUT, Unpooled.EMPTY_BUFFER, 0);
    }

    /** Writes the response to the current request; takes ownership of {@code body}. */
    private void respond(HttpResponseStatus status, ByteBuf body, long retryAfterUs) {
        currentRequestId = null;
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        if (retryAfterUs > 0) {
            String seconds = BigDecimal.valueOf(retryAfterUs, 6).toPlainString();
            response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
        }
        // Requests already read are answered before the connection is closed.
        boolean isLast =
                isLastRequest || (pendingRequests.isEmpty() && server.closesAfterResponse());
        HttpUtil.setKeepAlive(response, !isLast);
        channel.writeAndFlush(response)
                .addListener(
                        future -> {
                            if (!future.isSuccess()) {
                                channel.close();
                            } else if (isLast) {
                                close();
                            }
                        });
        if (!isLast) {
            // Not called directly: the module may still be handling the event that led here.
            channel.eventLoop().execute(this::processNext);
        }
    }

    /** Stops responding to a client that reads no responses, and closes it after a timeout. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        cancelWriteTimeout();
        if (!channel.isWritable()) {
            writeTimeout =
                    ctx.executor()
                            .schedule(
                                    () -> channel.close(), WRITE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } else if (isWaitingForWritability) {
            isWaitingForWritability = false;
            channel.eventLoop().execute(this::processNext);
        }
    }

    private void cancelWriteTimeout() {
        if (writeTimeout != null) {
            writeTimeout.cancel(false);
            writeTimeout = null;
        }
    }

    /**
     * Closes the connection between requests (RFC 9112, 9.6). Closing a socket with unread or
     * in-flight bytes resets it, and a reset discards data that the client has not read yet.
     * Therefore only the output is shut down first, and input is read and discarded for a short
     * time. A client retries a request that was in flight at that time.
     */
    void close() {
        if (isClosing) {
            return;
        }
        isClosing = true;
        receiveTimeout.requestReceived();
        releasePending();
        sessions.closing(this);
        if (!(channel instanceof DuplexChannel duplex)) {
            channel.close();
            return;
        }
        channel.pipeline().addFirst(new DiscardHandler());
        duplex.shutdownOutput()
                .addListener(
                        future -> {
                            if (!future.isSuccess()) {
                                channel.close();
                            }
                        });
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    /** Releases every message received. */
    private static final class DiscardHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ReferenceCountUtil.release(message);
        }
    }

    /** Closes the connection; logs exceptions that are neither I/O nor codec errors. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException || cause instanceof CodecException)) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "closed a client connection after an unexpected exception",
                    cause);
        }
        channel.close();
    }
}
