package myrtleladder.testbed.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.net.PortUnreachableException;
import java.util.concurrent.TimeUnit;
import myrtleladder.testbed.fault.LinkFaults;

/** One pair of processes over UDP, both ways. Whoever is not the target was told this address. */
final class DatagramProxy extends SimpleChannelInboundHandler<DatagramPacket> {
    private final EventLoop loop;
    private final LinkFaults links;
    private final String from;
    private final String to;
    private final InetSocketAddress target;
    private Channel channel;
    private InetSocketAddress sender;

    DatagramProxy(
            EventLoop loop, LinkFaults links, String from, String to, InetSocketAddress target) {
        this.loop = loop;
        this.links = links;
        this.from = from;
        this.to = to;
        this.target = target;
    }

    InetSocketAddress bind() {
        channel =
                new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        .handler(this)
                        .bind(new InetSocketAddress("127.0.0.1", 0))
                        .syncUninterruptibly()
                        .channel();
        return (InetSocketAddress) channel.localAddress();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
        boolean back = packet.sender().equals(target);
        if (!back) {
            sender = packet.sender();
        }
        InetSocketAddress receiver = back ? sender : target;
        if (receiver == null) {
            return; // an answer to nobody
        }
        long now = System.nanoTime() / 1_000;
        int bytes = packet.content().readableBytes();
        for (long delay :
                back
                        ? links.arrivalDelaysUs(now, to, from, bytes)
                        : links.arrivalDelaysUs(now, from, to, bytes)) {
            ByteBuf copy = packet.content().copy();
            loop.schedule(
                    () -> ctx.writeAndFlush(new DatagramPacket(copy, receiver)),
                    delay,
                    TimeUnit.MICROSECONDS);
        }
    }

    /**
     * Whoever sends to a process that is down is told so by the machine; a network would say
     * nothing.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof PortUnreachableException)) {
            ctx.fireExceptionCaught(cause);
        }
    }

    void close() {
        channel.close();
    }
}
