package myrtleladder.loadbalancer.server;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Tells when a request is too long in coming: from the connection's start for the first one, from
 * its first byte for the others. A peer that sends nothing, or never the end, would else hold its
 * descriptor for good, and with enough of them every other client is refused.
 */
final class RequestReceiveTimeoutHandler extends ChannelInboundHandlerAdapter {
    private final long millis;
    private final Runnable overdue;
    private ScheduledFuture<?> due;

    /**
     * {@code overdue} runs on the channel's event loop, again and again until the request is whole.
     */
    RequestReceiveTimeoutHandler(long millis, Runnable overdue) {
        this.millis = millis;
        this.overdue = overdue;
    }

    /** The request that was awaited has come. */
    void met() {
        if (due != null) {
            due.cancel(false);
            due = null;
        }
    }

    private void await(ChannelHandlerContext ctx) {
        if (due == null) {
            due =
                    ctx.executor()
                            .schedule(
                                    () -> {
                                        due = null;
                                        if (ctx.channel().isActive()) {
                                            await(ctx);
                                            overdue.run();
                                        }
                                    },
                                    millis,
                                    TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        await(ctx);
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        await(ctx);
        ctx.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        met();
        ctx.fireChannelInactive();
    }
}
