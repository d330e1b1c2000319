package myrtleladder.loadbalancer.server;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import myrtleladder.loadbalancer.policy.Outcome;
import myrtleladder.loadbalancer.policy.Upstream.State;

/**
 * The pool of connections to upstreams. A connection carries one exchange at a time and is reused
 * for later ones. The pool does not retry.
 *
 * <p>Confined to the event loop.
 */
final class UpstreamConnectionPool {
    /** Maximum size of a request or response body, in bytes. */
    static final int MAX_BODY_BYTES = 64 * 1024;

    /**
     * Fraction of an upstream's idle timeout after which an idle connection is closed here, so that
     * no request is written to a connection that the upstream is closing.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.6;

    /** Interval between checks for expired idle connections. */
    private static final long IDLE_CHECK_INTERVAL_MS = 250;

    private final EventLoop loop;
    private final Transport transport;
    private final Bootstrap bootstrap;
    private final long idleTimeoutNanos;
    private final int maxConnections;
    private final Map<String, Upstream> upstreams = new HashMap<>();
    private int connections;
    private long connects;

    /**
     * Creates an empty pool.
     *
     * @param upstreamIdleTimeoutUs time after which upstreams close idle connections
     * @param maxConnections maximum number of connections open or being established
     */
    UpstreamConnectionPool(
            EventLoop loop,
            Transport transport,
            long connectTimeoutUs,
            long upstreamIdleTimeoutUs,
            int maxConnections) {
        this.loop = loop;
        this.transport = transport;
        this.maxConnections = maxConnections;
        this.idleTimeoutNanos = (long) (upstreamIdleTimeoutUs * 1_000 * IDLE_TIMEOUT_FRACTION);
        this.bootstrap =
                transport
                        .client(loop)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) Math.max(1, connectTimeoutUs / 1_000))
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpRequestEncoder(),
                                                        new StrictHttpResponseDecoder(),
                                                        new HttpObjectAggregator(MAX_BODY_BYTES));
                                    }
                                });
        loop.scheduleWithFixedDelay(
                this::closeExpired,
                IDLE_CHECK_INTERVAL_MS,
                IDLE_CHECK_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Applies an endpoint list, or changes to one. */
    void apply(EndpointList list) {
        if (list.isFull()) {
            List<String> ids = list.endpoints().stream().map(EndpointList.Endpoint::id).toList();
            List<String> missing = new ArrayList<>(upstreams.keySet());
            missing.removeAll(ids);
            missing.forEach(this::remove);
        }
        for (EndpointList.Endpoint endpoint : list.endpoints()) {
            if (endpoint.state() == State.GONE) {
                remove(endpoint.id());
            } else {
                upstreams
                        .computeIfAbsent(endpoint.id(), id -> new Upstream())
                        .update(
                                endpoint.address(),
                                endpoint.startedMs(),
                                endpoint.state() == State.READY);
            }
        }
    }

    private void remove(String id) {
        Upstream upstream = upstreams.remove(id);
        if (upstream != null) {
            upstream.remove();
        }
    }

    /** Returns the number of upstreams in the endpoint list. */
    int upstreams() {
        return upstreams.size();
    }

    /** Returns the number of connections that are open or being established. */
    int connections() {
        return connections;
    }

    /** Returns the number of connection attempts since the start. */
    long connects() {
        return connects;
    }

    /** Closes the idle connections to an upstream, if it is known. */
    void closeIdle(String id) {
        Upstream upstream = upstreams.get(id);
        if (upstream != null) {
            upstream.closeIdleConnections();
        }
    }

    private void closeExpired() {
        long nowNanos = System.nanoTime();
        for (Upstream upstream : upstreams.values()) {
            Deque<UpstreamConnection> idle = upstream.idleConnections();
            while (!idle.isEmpty()
                    && nowNanos - idle.peekLast().idleSinceNanos() > idleTimeoutNanos) {
                idle.pollLast().close();
            }
        }
    }

    /**
     * Starts an exchange; takes ownership of the request. The listener is never called from within
     * this method, so that the caller has the returned exchange before it ends.
     *
     * @param canBegin whether the request may be written; called once the connection is established
     */
    Exchange start(
            String id,
            FullHttpRequest request,
            BooleanSupplier canBegin,
            ExchangeListener listener) {
        Exchange exchange = new Exchange(loop, request, canBegin, listener);
        Upstream upstream = upstreams.get(id);
        if (upstream == null || !upstream.isReady()) {
            loop.execute(() -> exchange.end(Outcome.CONNECT_FAILED, null));
            return exchange;
        }
        UpstreamConnection connection = pollIdle(upstream);
        if (connection != null) {
            exchange.write(connection);
        } else if (connections >= maxConnections && !closeOldestIdle()) {
            loop.execute(() -> exchange.end(Outcome.CONNECT_FAILED, null));
        } else {
            connect(upstream, exchange);
        }
        return exchange;
    }

    /** Removes and returns a usable idle connection; null if there is none. */
    private UpstreamConnection pollIdle(Upstream upstream) {
        long nowNanos = System.nanoTime();
        Deque<UpstreamConnection> idle = upstream.idleConnections();
        for (UpstreamConnection c = idle.poll(); c != null; c = idle.poll()) {
            if (c.isActive() && nowNanos - c.idleSinceNanos() < idleTimeoutNanos) {
                return c;
            }
            c.close();
        }
        return null;
    }

    /** Closes the longest idle connection of all upstreams; returns whether there was one. */
    private boolean closeOldestIdle() {
        UpstreamConnection oldest = null;
        Upstream upstreamOfOldest = null;
        for (Upstream upstream : upstreams.values()) {
            UpstreamConnection candidate = upstream.idleConnections().peekLast();
            if (candidate != null
                    && (oldest == null || candidate.idleSinceNanos() < oldest.idleSinceNanos())) {
                oldest = candidate;
                upstreamOfOldest = upstream;
            }
        }
        if (oldest == null) {
            return false;
        }
        upstreamOfOldest.idleConnections().pollLast().close();
        return true;
    }

    private void connect(Upstream upstream, Exchange exchange) {
        connections++;
        connects++;
        InetSocketAddress address = upstream.address();
        ChannelFuture connecting = bootstrap.connect(transport.address(address));
        exchange.connecting(connecting.channel());
        connecting.channel().closeFuture().addListener(future -> connections--);
        // Deferred until the next loop iteration has read all pending input: the client may have
        // disconnected.
        connecting.addListener(
                future ->
                        loop.schedule(
                                () -> connected(upstream, address, exchange, connecting),
                                0,
                                TimeUnit.MILLISECONDS));
    }

    private void connected(
            Upstream upstream,
            InetSocketAddress address,
            Exchange exchange,
            ChannelFuture connecting) {
        // The list may have changed in the meantime: no new request is sent to an upstream that
        // drains or has a new address.
        if (!connecting.isSuccess()
                || exchange.hasEnded()
                || !upstream.isReady()
                || !upstream.address().equals(address)) {
            connecting.channel().close();
            exchange.end(Outcome.CONNECT_FAILED, null);
            return;
        }
        UpstreamConnection connection =
                new UpstreamConnection(loop, upstream, connecting.channel());
        connecting.channel().pipeline().addLast(connection);
        exchange.write(connection);
    }
}
