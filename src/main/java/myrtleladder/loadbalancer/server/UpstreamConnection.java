package myrtleladder.loadbalancer.server;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import myrtleladder.loadbalancer.policy.Outcome;

/**
 * An established connection to an upstream, and the last handler of its pipeline. It carries one
 * exchange at a time and is reused for later ones (RFC 9112, 9.3).
 *
 * <p>Confined to the event loop.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private static final System.Logger LOG = System.getLogger(UpstreamConnection.class.getName());

    /** Header field with which an upstream states that it has not processed the request. */
    private static final String UNPROCESSED_HEADER = "X-Unprocessed";

    private final EventLoop loop;
    private final Upstream upstream;
    private final InetSocketAddress address;
    private final long startedMs;
    private final Channel channel;

    /** Null between exchanges. */
    private Exchange current;

    private long idleSinceNanos;
    private boolean isReset;

    UpstreamConnection(EventLoop loop, Upstream upstream, Channel channel) {
        this.loop = loop;
        this.upstream = upstream;
        this.address = upstream.address();
        this.startedMs = upstream.startedMs();
        this.channel = channel;
    }

    /** Begins an exchange; returns the channel to which its request is to be written. */
    Channel begin(Exchange exchange) {
        current = exchange;
        channel.pipeline().get(StrictHttpResponseDecoder.class).expectResponse();
        return channel;
    }

    /** Returns the start of the idle time, a value of {@link System#nanoTime}. */
    long idleSinceNanos() {
        return idleSinceNanos;
    }

    boolean isActive() {
        return channel.isActive();
    }

    void close() {
        channel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
        Exchange exchange = current;
        if (exchange != null && response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            // RFC 9110, 15.2: the final response follows. If this one were treated as final, the
            // final one would be read as the response to the next request.
            return;
        }
        if (exchange == null || !isComplete(exchange, response)) {
            channel.close();
            return;
        }
        current = null;
        response.retain();
        // Deferred until all pending bytes are read: further bytes after the response, or the end
        // of the connection, forbid its reuse.
        loop.execute(
                () -> {
                    keepAliveOrClose(exchange, response);
                    exchange.end(outcomeOf(response), response);
                    response.release();
                });
    }

    /**
     * Whether the response is complete. A response without a length ends when its connection is
     * closed (RFC 9112, 6.3), but not by a reset, which may have truncated it.
     */
    private boolean isComplete(Exchange exchange, FullHttpResponse response) {
        return !response.decoderResult().isFailure()
                && !isReset
                && (channel.isActive() || exchange.isWritten());
    }

    private void keepAliveOrClose(Exchange exchange, FullHttpResponse response) {
        if (exchange.isWritten() && HttpUtil.isKeepAlive(response)) {
            keepAlive();
        } else {
            channel.close();
        }
    }

    /** Makes the connection idle for reuse, or closes it if the upstream drains or restarted. */
    void keepAlive() {
        if (upstream.isReady()
                && channel.isActive()
                && upstream.address().equals(address)
                && upstream.startedMs() == startedMs) {
            idleSinceNanos = System.nanoTime();
            upstream.idleConnections().push(this);
        } else {
            channel.close();
        }
    }

    private static Outcome outcomeOf(FullHttpResponse response) {
        return switch (response.status().code()) {
            case 200 -> Outcome.OK;
            case 503, 504 ->
                    "1".equals(response.headers().get(UNPROCESSED_HEADER))
                            ? Outcome.FULL
                            : Outcome.ERROR;
            default -> Outcome.ERROR;
        };
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        upstream.idleConnections().remove(this);
        if (current != null) {
            current.connectionLost();
            current = null;
        }
    }

    /** Closes the connection; logs exceptions that are neither I/O nor codec errors. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        isReset = true;
        if (!(cause instanceof IOException || cause instanceof CodecException)) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "closed an upstream connection after an unexpected exception",
                    cause);
        }
        channel.close();
    }
}
