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
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import myrtleladder.error.OperatorError.BadInput;
import myrtleladder.loadbalancer.policy.Balancer.Request;
import myrtleladder.loadbalancer.settings.SettingsReader;

/**
 * The side towards clients: listens, keeps their connections within the descriptors, and drains
 * them.
 */
final class LoadBalancerServer {
    /**
     * Part of the connections that are kept between requests. With more, an answer says that its
     * connection closes: to close one that looks idle can cross with the next request on it, which
     * is then lost.
     */
    private static final double KEPT_PART = 0.5;

    /**
     * So many clients beyond the limit are let in to be refused; with more, upstreams lacked
     * descriptors.
     */
    private static final int REFUSED_AT_ONCE = 24;

    /**
     * Bytes of one read, and reads of one connection in a turn of the loop. Reading stops only
     * between two reads, and the codec closes a connection with 128 requests unanswered: a read
     * must not hold that many.
     */
    private static final int LEAST_READ = 64;

    private static final int FIRST_READ = 2 * 1024;
    private static final int LARGEST_READ = 8 * 1024;
    private static final int READS_AT_ONCE = 16;

    /** At a planned stop idle connections are closed one by one, this far apart. */
    private static final long BETWEEN_CLOSES_MS = 1;

    /**
     * Memory for requests that wait behind another on their connection: of one connection, and of
     * all. Up to there a connection is read on, since its end is seen in no other way.
     */
    private static final long WAITING_BYTES = 96 * 1024;

    private static final long WAITING_BYTES_IN_ALL = 4 * 1024 * 1024;

    private final EventLoop loop;
    private final BalancerRuntime driver;
    private final RequestParser reader;
    private final int maxConnections;
    private final Set<ClientSession> sessions = new LinkedHashSet<>();

    /** The connections between requests. */
    private final Set<ClientSession> idle = new LinkedHashSet<>();

    private final Promise<Void> drained;
    private volatile Channel listening;
    private long waitingBytes;
    private boolean open;
    private boolean stopping;
    private boolean closing;

    /**
     * The last answers of a planned stop are given: nobody would answer what is sent on after that.
     */
    private boolean ended;

    LoadBalancerServer(
            EventLoop loop,
            BalancerRuntime driver,
            SettingsReader.ParsedSettings facts,
            int maxConnections) {
        this.loop = loop;
        this.driver = driver;
        this.reader = new RequestParser(facts);
        this.maxConnections = maxConnections;
        this.drained = loop.newPromise();
    }

    /** Begins to listen; the future fails if the address can't be had. */
    ChannelFuture bind(Transport transport, InetSocketAddress address) {
        ChannelFuture bound =
                transport
                        .server(loop)
                        .childOption(ChannelOption.RECVBUF_ALLOCATOR, smallReads())
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        new ClientSession(LoadBalancerServer.this, driver, channel)
                                                .install();
                                    }
                                })
                        .bind(transport.address(address));
        listening = bound.channel();
        return bound;
    }

    private static RecvByteBufAllocator smallReads() {
        AdaptiveRecvByteBufAllocator allocator =
                new AdaptiveRecvByteBufAllocator(LEAST_READ, FIRST_READ, LARGEST_READ);
        allocator.maxMessagesPerRead(READS_AT_ONCE);
        return allocator;
    }

    /** From here on health is good, once there is a list to serve from. */
    void open() {
        loop.execute(() -> open = true);
    }

    /** Takes over a new configuration without a pause in service. */
    void reload(BalancerConfig config) {
        loop.execute(() -> driver.reload(config));
    }

    /** What the balancer has done and what it holds, as of soon. */
    Future<BalancerStatus> status() {
        return loop.submit(driver::status);
    }

    /** Its sending to upstreams, for use on its event loop. */
    TrafficControl sending() {
        return driver;
    }

    SocketAddress address() {
        return listening.localAddress();
    }

    // ---- A planned stop
    // --------------------------------------------------------------------------------

    /**
     * A planned stop: goes on as before while clients still come, but in ill health; then answers
     * all that was taken, the last of it as failed when time runs out, and closes connections
     * between requests. The future is done when nothing can be pending any more; at once if no
     * client could come yet.
     */
    Promise<Void> drain(long keepAcceptingMs, long lastAnswerMs) {
        if (listening == null) {
            drained.trySuccess(null);
            return drained;
        }
        loop.execute(() -> stopping = true);
        loop.schedule(
                () -> {
                    closing = true;
                    listening.close();
                    closeIdle();
                },
                keepAcceptingMs,
                TimeUnit.MILLISECONDS);
        loop.schedule(
                () -> {
                    ended = true;
                    driver.failAll();
                },
                lastAnswerMs,
                TimeUnit.MILLISECONDS);
        return drained;
    }

    /**
     * Closes one idle connection at a time: between two the loop reads what has come. All in one
     * go, requests that came while the first ones were being closed would be lost with the last
     * ones.
     */
    private void closeIdle() {
        idle.stream().findFirst().ifPresent(ClientSession::close);
        finishIfDrained();
        if (!sessions.isEmpty()) {
            loop.schedule(this::closeIdle, BETWEEN_CLOSES_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void finishIfDrained() {
        if (closing && sessions.isEmpty()) {
            drained.trySuccess(null);
        }
    }

    // ---- For the sessions
    // ------------------------------------------------------------------------------

    /** A new session, of a connection that this listener accepted. */
    void opened(ClientSession session, Channel listener) {
        sessions.add(session);
        idle.add(session);
        acceptWhileThereIsRoom(listener);
    }

    void closed(ClientSession session, Channel listener) {
        sessions.remove(session);
        idle.remove(session);
        acceptWhileThereIsRoom(listener);
        finishIfDrained();
    }

    /** It will send nothing more; its descriptor is taken until its client has seen that. */
    void leaving(ClientSession session) {
        idle.remove(session);
    }

    void idle(ClientSession session) {
        idle.add(session);
    }

    void notIdle(ClientSession session) {
        idle.remove(session);
    }

    private void acceptWhileThereIsRoom(Channel listener) {
        listener.config().setAutoRead(sessions.size() < maxConnections + REFUSED_AT_ONCE);
    }

    /** Whether all connections are taken. */
    boolean isFull() {
        return sessions.size() >= maxConnections;
    }

    /** Whether there are more connections than are served. */
    boolean isOverfull() {
        return sessions.size() > maxConnections;
    }

    boolean isHealthy() {
        return open && driver.ready() && !stopping;
    }

    /** Whether what is read now is refused, since nobody would answer it any more. */
    boolean refusesAll() {
        return ended;
    }

    /** Whether a connection ends with its next answer. */
    boolean closesWithAnswers() {
        return closing || ended || sessions.size() > KEPT_PART * maxConnections;
    }

    /** Counts memory of requests that wait, or no longer do. */
    void account(long bytes) {
        waitingBytes += bytes;
    }

    /** Whether a connection whose waiting requests take so much is read no further. */
    boolean holdsTooMuch(long bytesOfSession) {
        return bytesOfSession >= WAITING_BYTES || waitingBytes >= WAITING_BYTES_IN_ALL;
    }

    Request read(FullHttpRequest message, QueryStringDecoder uri, long waited) throws BadInput {
        RequestParser.require(!driver.isOpen(RequestParser.id(message)), "X-Correlation-Id");
        return reader.read(message, uri, waited);
    }
}
