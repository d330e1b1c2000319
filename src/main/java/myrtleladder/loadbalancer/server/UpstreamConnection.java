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
 * A connection to an upstream that is up, and the last handler of its pipeline. It carries one
 * exchange at a time and is kept for the next one (RFC 9112, 9.3).
 *
 * <p>Confined to the event loop.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private static final System.Logger LOG = System.getLogger(UpstreamConnection.class.getName());

    /** Header field by which an upstream states that it has not processed a request. */
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

    /** An exchange begins on this connection; returns the channel to write its request to. */
    Channel begin(Exchange exchange) {
        current = exchange;
        channel.pipeline().get(StrictHttpResponseDecoder.class).expectResponse();
        return channel;
    }

    /** Start of the idle time, a value of {@link System#nanoTime}. */
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
            // RFC 9110, 15.2: the final response follows. Were this one taken for it, that would be
            // taken for the response to the next request.
            return;
        }
        if (exchange == null || !isComplete(exchange, response)) {
            channel.close();
            return;
        }
        current = null;
        response.retain();
        // After all that has come is read: bytes behind the response, or the end of the connection,
        // forbid its reuse.
        loop.execute(
                () -> {
                    keepAliveOrClose(exchange, response);
                    exchange.end(outcomeOf(response), response);
                    response.release();
                });
    }

    /**
     * Whether the response is complete. One without a length ends with its connection (RFC 9112,
     * 6.3), but a reset is no such end: it may have truncated the response.
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

    /** Keeps the connection for the next request, unless the upstream drains or has restarted. */
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

    /** Closes the connection. What neither the network nor the codec explains is logged. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        isReset = true;
        if (!(cause instanceof IOException || cause instanceof CodecException)) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "closed an upstream's connection after a failure",
                    cause);
        }
        channel.close();
    }
}
