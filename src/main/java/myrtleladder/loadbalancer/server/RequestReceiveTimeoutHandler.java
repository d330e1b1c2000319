package myrtleladder.loadbalancer.server;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Limits the time to receive a request, measured from the start of the connection for the first
 * request and from the first byte for later ones. Otherwise peers that never send a complete
 * request would use up the file descriptors, and all other clients would be rejected.
 *
 * <p>Must be the first handler of the pipeline, before the codec.
 */
final class RequestReceiveTimeoutHandler extends ChannelInboundHandlerAdapter {
    private final long timeoutMs;
    private final Runnable onTimeout;

    /** Null while no request is being received. */
    private ScheduledFuture<?> timer;

    /**
     * Creates a handler for one channel.
     *
     * @param onTimeout runs on the channel's event loop, repeatedly after each further timeout
     *     until the request has been received
     */
    RequestReceiveTimeoutHandler(long timeoutMs, Runnable onTimeout) {
        this.timeoutMs = timeoutMs;
        this.onTimeout = onTimeout;
    }

    /** Stops the timeout after a complete request. Must be called on the event loop. */
    void requestReceived() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void startTimer(ChannelHandlerContext ctx) {
        if (timer == null) {
            timer = ctx.executor().schedule(() -> timedOut(ctx), timeoutMs, TimeUnit.MILLISECONDS);
        }
    }

    private void timedOut(ChannelHandlerContext ctx) {
        timer = null;
        if (ctx.channel().isActive()) {
            startTimer(ctx);
            onTimeout.run();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        startTimer(ctx);
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        startTimer(ctx);
        ctx.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        requestReceived();
        ctx.fireChannelInactive();
    }
}
