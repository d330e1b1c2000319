package myrtleladder.testbed.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import myrtleladder.testbed.fault.LinkFaults;

/**
 * One pair of processes over TCP: connections that the first opens to the second. Bytes keep their
 * order, as TCP has it: a lost piece is late by a retransmission; behind a cut all waits until the
 * cut is healed. An end of a connection waits its turn like bytes, so a cut hides it too.
 */
final class StreamProxy {
    /** What a lost piece costs: the least retransmission time of common kernels. */
    private static final long RETRANSMIT_MICROS = 200_000;

    /** Beyond so much on its way the sender is held back, as a full window would. */
    private static final int WINDOW = 256 * 1024;

    private final EventLoop loop;
    private final LinkFaults links;
    private final String from;
    private final String to;
    private final InetSocketAddress target;
    private final Set<Side> sides = new LinkedHashSet<>();
    private Channel listening;

    StreamProxy(
            EventLoop loop, LinkFaults links, String from, String to, InetSocketAddress target) {
        this.loop = loop;
        this.links = links;
        this.from = from;
        this.to = to;
        this.target = target;
    }

    InetSocketAddress bind() {
        listening =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .childHandler(
                                new ChannelInboundHandlerAdapter() {
                                    @Override
                                    public boolean isSharable() {
                                        return true;
                                    }

                                    @Override
                                    public void channelActive(ChannelHandlerContext ctx) {
                                        ctx.pipeline().remove(this);
                                        connect((SocketChannel) ctx.channel());
                                    }
                                })
                        .bind(new InetSocketAddress("127.0.0.1", 0))
                        .syncUninterruptibly()
                        .channel();
        return (InetSocketAddress) listening.localAddress();
    }

    private void connect(SocketChannel near) {
        Side there = new Side(near, from, to);
        Side back = new Side(null, to, from);
        there.other = back;
        back.other = there;
        near.pipeline().addLast(there);
        sides.add(there);
        sides.add(back);
        there.connectUnlessPartitioned();
    }

    boolean between(String one, String other) {
        return (from.equals(one) && to.equals(other)) || (from.equals(other) && to.equals(one));
    }

    /** Lets go what a cut has held up, where it is healed. */
    void go() {
        List.copyOf(sides).forEach(Side::go);
    }

    void reset() {
        List.copyOf(sides).forEach(Side::reset);
    }

    void close() {
        listening.close();
        reset();
    }

    /** One end of a connection, and what it has sent that is still on its way to the other end. */
    private final class Side extends ChannelInboundHandlerAdapter {
        private final String sender;
        private final String receiver;
        private final Deque<Chunk> onItsWay = new ArrayDeque<>();
        private SocketChannel channel;
        private Side other;
        private long lastDue;
        private int bytes;
        private boolean connecting;
        private boolean comesAgain;
        private boolean broken;
        private boolean ended;

        Side(SocketChannel channel, String sender, String receiver) {
            this.channel = channel;
            this.sender = sender;
            this.receiver = receiver;
        }

        /** Bytes, or the end of the connection where {@code bytes} is null. */
        private record Chunk(ByteBuf bytes, long due) {}

        void connectUnlessPartitioned() {
            if (connecting || links.isCut(sender, receiver) || links.isCut(receiver, sender)) {
                return;
            }
            connecting = true;
            ChannelFuture connected =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                            .option(ChannelOption.AUTO_READ, false)
                            .handler(other)
                            .connect(target);
            other.channel = (SocketChannel) connected.channel();
            connected.addListener(
                    f -> {
                        if (f.isSuccess()) {
                            channel.config().setAutoRead(true);
                            other.channel.config().setAutoRead(true);
                        } else {
                            other.broken =
                                    true; // a refusal has to come back over the link like anything
                            // else
                            other.go();
                        }
                    });
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            put((ByteBuf) message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            go();
            other.go();
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                put(null);
            }
        }

        private void put(ByteBuf chunk) {
            long now = System.nanoTime() / 1_000;
            int size = chunk == null ? 0 : chunk.readableBytes();
            long[] arrivals =
                    links.isCut(sender, receiver)
                            ? new long[] {0}
                            : links.arrivalDelaysUs(now, sender, receiver, size);
            long delay = arrivals.length == 0 ? RETRANSMIT_MICROS : arrivals[0];
            lastDue = Math.max(lastDue, now + delay);
            onItsWay.add(new Chunk(chunk, lastDue));
            bytes += chunk == null ? 0 : chunk.readableBytes();
            channel.config().setAutoRead(bytes < WINDOW);
            go();
        }

        /** Passes on what is due, in order; comes again for the rest. */
        void go() {
            if (channel == null) {
                return; // behind a cut: it can have sent nothing, and the other side sees to
                // connecting
            }
            if (other.channel == null) {
                connectUnlessPartitioned();
                return;
            }
            if (broken && !links.isCut(sender, receiver)) {
                reset();
                return;
            }
            if (!channel.isOpen() && !other.channel.isOpen()) {
                sides.remove(this);
            }
            boolean wrote = false;
            while (!onItsWay.isEmpty() && !links.isCut(sender, receiver)) {
                long wait = onItsWay.peek().due() - System.nanoTime() / 1_000;
                if (wait > 0) {
                    comeAgain(wait);
                    break;
                }
                Chunk chunk = onItsWay.poll();
                if (chunk.bytes() == null) {
                    end();
                } else {
                    bytes -= chunk.bytes().readableBytes();
                    other.channel.write(chunk.bytes());
                    wrote = true;
                }
            }
            if (wrote) {
                other.channel.flush();
                channel.config().setAutoRead(bytes < WINDOW);
            }
        }

        /**
         * Passes the end on behind all that was written; with both ends passed on the connection is
         * over.
         */
        private void end() {
            other.channel
                    .writeAndFlush(Unpooled.EMPTY_BUFFER)
                    .addListener(
                            f -> {
                                ended = true;
                                if (other.ended) {
                                    channel.close();
                                    other.channel.close();
                                } else {
                                    other.channel.shutdownOutput();
                                }
                            });
        }

        private void comeAgain(long micros) {
            if (!comesAgain) {
                comesAgain = true;
                loop.schedule(
                        () -> {
                            comesAgain = false;
                            go();
                        },
                        micros,
                        TimeUnit.MICROSECONDS);
            }
        }

        /**
         * A reset of one end reaches the other one; where the link is cut, only once that is
         * healed.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            broken = true;
            go();
        }

        void reset() {
            for (Side side : List.of(this, other)) {
                side.onItsWay.forEach(
                        p -> {
                            if (p.bytes() != null) {
                                p.bytes().release();
                            }
                        });
                side.onItsWay.clear();
                sides.remove(side);
                if (side.channel != null && side.channel.isOpen()) {
                    side.channel.config().setSoLinger(0);
                    side.channel.close();
                }
            }
        }
    }
}
