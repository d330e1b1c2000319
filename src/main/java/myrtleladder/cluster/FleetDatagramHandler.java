package myrtleladder.cluster;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.util.NetUtil;
import java.io.IOException;

/**
 * Reads the datagrams of a fleet and passes them on as bytes; what exceeds the rate limit is
 * dropped unread. Received buffers are released by the superclass. Confined to the event loop.
 */
final class FleetDatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
    private static final System.Logger LOG = System.getLogger(FleetDatagramHandler.class.getName());

    private final ReceiveRateLimiter rateLimiter;
    private final Receiver receiver;

    /** Takes the datagrams. */
    interface Receiver {
        /**
         * A datagram was received.
         *
         * @param from address and port of the sender
         */
        void onDatagram(String from, byte[] datagram);
    }

    FleetDatagramHandler(ReceiveRateLimiter rateLimiter, Receiver receiver) {
        this.rateLimiter = rateLimiter;
        this.receiver = receiver;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
        if (rateLimiter.tryAcquire(System.nanoTime())) {
            receiver.onDatagram(
                    NetUtil.toSocketAddressString(packet.sender()),
                    ByteBufUtil.getBytes(packet.content()));
        }
    }

    /**
     * Logs failures of the protocols. An {@link IOException} is no failure: the operating system
     * may report that a process that was sent to is down, which the membership finds out itself.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.log(System.Logger.Level.ERROR, "dropped a datagram after a failure", cause);
        }
    }
}
