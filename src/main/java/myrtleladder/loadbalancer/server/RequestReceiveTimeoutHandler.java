package myrtleladder.loadbalancer.server;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Times out the receipt of a request: from the start of the connection for the first one, from its
 * first byte for the others. Without it a peer that sends nothing, or never the end, would keep its
 * descriptor for good, and enough of them would have every other client rejected.
 *
 * <p>The first handler of the pipeline, before the codec.
 */
final class RequestReceiveTimeoutHandler extends ChannelInboundHandlerAdapter {
    private final long timeoutMs;
    private final Runnable onTimeout;

    /** Null while no request is awaited. */
    private ScheduledFuture<?> timer;

    /**
     * Creates a handler for one channel.
     *
     * @param onTimeout runs on the channel's event loop, after each further timeout once more until
     *     the request has been received
     */
    RequestReceiveTimeoutHandler(long timeoutMs, Runnable onTimeout) {
        this.timeoutMs = timeoutMs;
        this.onTimeout = onTimeout;
    }

    /** The request that was awaited is complete. Call it on the event loop. */
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
