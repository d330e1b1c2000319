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
 * The connections to upstreams. A connection carries one exchange at a time and is kept for the
 * next one; nothing is retried here.
 *
 * <p>Confined to the event loop.
 */
final class UpstreamConnectionPool {
    /** The largest body of the protocol, in bytes. */
    static final int MAX_BODY_BYTES = 64 * 1024;

    /**
     * Part of an upstream's idle timeout after which an idle connection is closed, so that no
     * request is written to one that the upstream is closing.
     */
    private static final double IDLE_TIMEOUT_PART = 0.6;

    /** Interval between two checks for connections that have been idle too long. */
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
     * @param upstreamIdleTimeoutUs after which upstreams close idle connections
     * @param maxConnections open or coming up at the same time
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
        this.idleTimeoutNanos = (long) (upstreamIdleTimeoutUs * 1_000 * IDLE_TIMEOUT_PART);
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

    /** Takes over an endpoint list, or changes of one. */
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

    /** The number of upstreams on the list. */
    int upstreams() {
        return upstreams.size();
    }

    /** The number of connections that are open or coming up. */
    int connections() {
        return connections;
    }

    /** The number of connections begun so far. */
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
     * Starts an exchange; takes over the reference to the request. The listener is never called
     * from within this call, so that the caller has the exchange in hand before its end.
     *
     * @param canBegin asked when the exchange has its connection, right before it is written
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

    /** Takes out an idle connection that can be used; null if there is none. */
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

    /** Returns whether there was one. */
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
        // Not before the next turn of the loop has read all that has come meanwhile: the client may
        // have closed its connection.
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
        // The list may have changed meanwhile: no new request goes to an upstream that drains or
        // has moved.
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
