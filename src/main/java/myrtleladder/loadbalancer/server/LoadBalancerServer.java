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
 * The server side of the load balancer: accepts client connections, reports health and shuts down
 * gracefully.
 *
 * <p>Its state is confined to the event loop. {@link #bind}, {@link #open}, {@link #reload}, {@link
 * #status} and {@link #drain} may be called from any thread; the methods used by sessions only on
 * the event loop.
 */
final class LoadBalancerServer {
    /* Sizes of one read in bytes, and reads per connection in one loop iteration. Reading
     * stops only between two reads, and the codec closes a connection with 128 unanswered
     * requests, so a single read must not contain that many.
     */

    /** Smallest size of a read. */
    private static final int MIN_READ_BYTES = 64;

    /** Size of the first read of a connection. */
    private static final int INITIAL_READ_BYTES = 2 * 1024;

    /** Largest size of a read. */
    private static final int MAX_READ_BYTES = 8 * 1024;

    /** Maximum number of reads per connection in one loop iteration. */
    private static final int MAX_READS_PER_TURN = 16;

    /** Interval at which a graceful shutdown closes idle connections, one at a time. */
    private static final long IDLE_CLOSE_INTERVAL_MS = 1;

    private final EventLoop loop;
    private final BalancerRuntime balancer;
    private final RequestParser parser;
    private final ClientSessions sessions;
    private final Promise<Void> drained;

    /** Null before {@link #bind}. */
    private volatile Channel listener;

    private boolean isOpen;

    /** Whether a graceful shutdown has begun; requests are still served. */
    private boolean isDraining;

    /** Whether the listener is closed and connections close after their responses. */
    private boolean isClosing;

    /** Whether the graceful shutdown has failed all open requests; later ones are rejected. */
    private boolean isDrainOver;

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

    /** Starts to listen. The future fails if the address can't be bound. */
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

    /** Allows the server to report healthy, as soon as there is an endpoint list. */
    void open() {
        loop.execute(() -> isOpen = true);
    }

    /** Applies a new configuration without interrupting service. */
    void reload(BalancerConfig config) {
        loop.execute(() -> balancer.reload(config));
    }

    /** Returns a future snapshot of counters and gauges. */
    Future<BalancerStatus> status() {
        return loop.submit(balancer::status);
    }

    /** For use on the event loop. */
    TrafficControl trafficControl() {
        return balancer;
    }

    /** Returns the listen address; valid only after {@link #bind}. */
    SocketAddress address() {
        return listener.localAddress();
    }

    /**
     * Shuts down gracefully. First the server reports unhealthy but still accepts connections. Then
     * it stops listening, closes idle connections and answers all received requests; those still
     * open at the end fail. The future completes when all connections are closed, or at once if the
     * server never listened.
     *
     * @param acceptMs how long connections are still accepted, in milliseconds from now
     * @param lastResponseMs when open requests are failed, in milliseconds from now
     */
    Promise<Void> drain(long acceptMs, long lastResponseMs) {
        if (listener == null) {
            drained.trySuccess(null);
            return drained;
        }
        loop.execute(() -> isDraining = true);
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
        isDrainOver = true;
        balancer.failAll();
    }

    /**
     * Closes one idle connection at a time, so that the loop reads pending requests in between. If
     * all were closed at once, requests that arrive during the first closes would be lost with the
     * last connections.
     */
    private void closeIdleSessions() {
        sessions.longestIdle().ifPresent(ClientSession::close);
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

    /** Removes a session whose connection is closed. */
    void sessionClosed(ClientSession session, Channel listener) {
        sessions.closed(session, listener);
        completeIfDrained();
    }

    boolean isHealthy() {
        return isOpen && balancer.isReady() && !isDraining;
    }

    /** Whether new requests are rejected because the graceful shutdown is over. */
    boolean rejectsRequests() {
        return isDrainOver;
    }

    /** Whether connections are closed after their next response. */
    boolean closesAfterResponse() {
        return isClosing || isDrainOver || sessions.isOverKeepAliveLimit();
    }

    /**
     * Parses a request that has been queued for {@code waitedUs} microseconds.
     *
     * @throws InvalidInput if a field is missing or malformed, or a request with this id is open
     */
    Request parse(FullHttpRequest message, QueryStringDecoder uri, long waitedUs)
            throws InvalidInput {
        boolean isNew = !balancer.isOpen(RequestParser.requestId(message));
        RequestParser.require(isNew, RequestParser.REQUEST_ID_HEADER);
        return parser.parse(message, uri, waitedUs);
    }
}
