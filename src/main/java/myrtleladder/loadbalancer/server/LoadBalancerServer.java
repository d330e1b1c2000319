package myrtleladder.loadbalancer.server;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import myrtleladder.error.OperatorError.InvalidInput;
import myrtleladder.loadbalancer.policy.Request;
import myrtleladder.loadbalancer.settings.SettingsReader;

/**
 * The load balancer as a server: listens for clients, answers for its health, and shuts down
 * gracefully.
 *
 * <p>Its state is confined to the event loop. {@link #bind}, {@link #open}, {@link #reload}, {@link
 * #status} and {@link #drain} may be called from any thread; the methods that sessions call, on the
 * event loop alone.
 */
final class LoadBalancerServer {
    /*
     * Sizes of one read in bytes, and reads of one connection in a turn of the loop. Reading
     * stops only between two reads, and the codec closes a connection with 128 requests unanswered:
     * a read must not hold that many.
     */

    /** Smallest size of a read. */
    private static final int MIN_READ_BYTES = 64;

    /** Size of the first read of a connection. */
    private static final int INITIAL_READ_BYTES = 2 * 1024;

    /** Largest size of a read. */
    private static final int MAX_READ_BYTES = 8 * 1024;

    /** Reads of one connection in a turn of the loop. */
    private static final int MAX_READS_PER_TURN = 16;

    /** In a graceful shutdown idle connections are closed one by one, at this interval. */
    private static final long IDLE_CLOSE_INTERVAL_MS = 1;

    private final EventLoop loop;
    private final BalancerRuntime balancer;
    private final RequestParser parser;
    private final ClientSessions sessions;
    private final Promise<Void> drained;

    /** Null before {@link #bind}. */
    private volatile Channel listener;

    private boolean isOpen;

    /** A graceful shutdown has begun; it still serves. */
    private boolean isStopping;

    /** The listener is closed, and connections close with their responses. */
    private boolean isClosing;

    /** The last responses of a graceful shutdown are given; what comes later is rejected. */
    private boolean hasEnded;

    LoadBalancerServer(
            EventLoop loop,
            BalancerRuntime balancer,
            SettingsReader.ParsedSettings settings,
            int maxConnections) {
        this.loop = loop;
        this.balancer = balancer;
        this.parser = new RequestParser(settings);
        this.sessions = new ClientSessions(maxConnections);
        this.drained = loop.newPromise();
    }

    /** Begins to listen; the future fails if the address can't be bound. */
    ChannelFuture bind(Transport transport, InetSocketAddress address) {
        ChannelFuture bound =
                transport
                        .server(loop)
                        .childOption(ChannelOption.RECVBUF_ALLOCATOR, smallReads())
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        newSession(channel).initPipeline();
                                    }
                                })
                        .bind(transport.address(address));
        listener = bound.channel();
        return bound;
    }

    private ClientSession newSession(Channel channel) {
        return new ClientSession(this, sessions, balancer, channel);
    }

    private static RecvByteBufAllocator smallReads() {
        AdaptiveRecvByteBufAllocator allocator =
                new AdaptiveRecvByteBufAllocator(
                        MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
        allocator.maxMessagesPerRead(MAX_READS_PER_TURN);
        return allocator;
    }

    /** From now on the server is healthy once there is an endpoint list to serve from. */
    void open() {
        loop.execute(() -> isOpen = true);
    }

    /** Takes over a new configuration without a pause in service. */
    void reload(BalancerConfig config) {
        loop.execute(() -> balancer.reload(config));
    }

    /** Asks for a snapshot of counters and gauges. */
    Future<BalancerStatus> status() {
        return loop.submit(balancer::status);
    }

    /** For use on the event loop. */
    TrafficControl trafficControl() {
        return balancer;
    }

    /** The address that it listens on; only after {@link #bind}. */
    SocketAddress address() {
        return listener.localAddress();
    }

    /**
     * Shuts down gracefully: goes on as before while clients still come, but unhealthy; then stops
     * listening and closes connections between requests, and answers all requests that have come,
     * the last of them as failed. The future is done when no request can be pending any more; at
     * once if the server never listened.
     *
     * @param acceptMs how long it still accepts connections, from now
     * @param lastResponseMs when what is still open fails, from now
     */
    Promise<Void> drain(long acceptMs, long lastResponseMs) {
        if (listener == null) {
            drained.trySuccess(null);
            return drained;
        }
        loop.execute(() -> isStopping = true);
        loop.schedule(this::beginClosing, acceptMs, TimeUnit.MILLISECONDS);
        loop.schedule(this::failOpenRequests, lastResponseMs, TimeUnit.MILLISECONDS);
        return drained;
    }

    private void beginClosing() {
        isClosing = true;
        listener.close();
        closeIdleSessions();
    }

    private void failOpenRequests() {
        hasEnded = true;
        balancer.failAll();
    }

    /**
     * Closes one idle connection at a time: between two the loop reads what has come. All at once,
     * requests that came while the first ones were closed would be lost with the last ones.
     */
    private void closeIdleSessions() {
        sessions.firstIdle().ifPresent(ClientSession::close);
        completeIfDrained();
        if (!sessions.isEmpty()) {
            loop.schedule(this::closeIdleSessions, IDLE_CLOSE_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void completeIfDrained() {
        if (isClosing && sessions.isEmpty()) {
            drained.trySuccess(null);
        }
    }

    /** The connection of a session is closed. */
    void sessionClosed(ClientSession session, Channel listener) {
        sessions.closed(session, listener);
        completeIfDrained();
    }

    boolean isHealthy() {
        return isOpen && balancer.isReady() && !isStopping;
    }

    /** Whether requests are rejected, since nothing would answer them any more. */
    boolean rejectsAll() {
        return hasEnded;
    }

    /** Whether a connection ends with its next response. */
    boolean closesWithResponses() {
        return isClosing || hasEnded || sessions.isOverKeptLimit();
    }

    /**
     * Parses a request that has waited here for {@code waitedUs}.
     *
     * @throws BadInput if a field is missing or malformed, or a request with this id is open
     */
    Request parse(FullHttpRequest message, QueryStringDecoder uri, long waitedUs)
            throws InvalidInput {
        boolean isNew = !balancer.isOpen(RequestParser.requestId(message));
        RequestParser.require(isNew, RequestParser.REQUEST_ID_HEADER);
        return parser.parse(message, uri, waitedUs);
    }
}
