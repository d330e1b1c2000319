package myrtleladder.testbed.fake;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import myrtleladder.testbed.checker.Checker;
import myrtleladder.testbed.fake.UpstreamModel.End;

/**
 * An upstream on sockets. Each balancer has an address of its own to come to, so it is known who
 * sent what. All of it lives on the lab's event loop.
 */
public final class FakeUpstreamServer {
    private static final int MAX_BODY = 64 * 1024;

    private final String id;
    private final UpstreamProfile kind;
    private final EventLoop loop;
    private final TestbedClock clock;
    private final Checker checker;
    private final ToDoubleFunction<String> workOf;
    private final UpstreamModel model;
    private final List<Channel> listening = new ArrayList<>();
    private final Set<Channel> connections = new LinkedHashSet<>();
    private final Map<Long, Exchange> open = new HashMap<>();
    private ScheduledFuture<?> due;
    private long dueAt = Long.MAX_VALUE;
    private long tickets;
    private long accepted;

    /**
     * One of some age; {@code workOf} tells what a request costs by its id, NaN for one nobody
     * sent.
     */
    public FakeUpstreamServer(
            String id,
            UpstreamProfile kind,
            long age,
            long seed,
            EventLoop loop,
            TestbedClock clock,
            Checker checker,
            ToDoubleFunction<String> workOf) {
        long startedAt = clock.micros() - age;
        this.id = id;
        this.kind = kind;
        this.loop = loop;
        this.clock = clock;
        this.checker = checker;
        this.workOf = workOf;
        this.model =
                new UpstreamModel(
                        kind,
                        seed,
                        startedAt,
                        new UpstreamModel.Out() {
                            @Override
                            public void end(long ticket, End end) {
                                ended(ticket, end);
                            }

                            @Override
                            public void fall() {
                                stop();
                            }
                        });
        checker.upstreamStarted(startedAt, id, kind.capacity());
    }

    private record Exchange(ChannelHandlerContext ctx, String request, long at) {}

    /** Opens the address at which a balancer finds it. */
    public InetSocketAddress openFor(String balancer) {
        Channel channel =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel ch) {
                                        ch.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(MAX_BODY),
                                                        new Connection(balancer));
                                    }
                                })
                        .bind(new InetSocketAddress("127.0.0.1", 0))
                        .syncUninterruptibly()
                        .channel();
        loop.submit(() -> listening.add(channel)).syncUninterruptibly();
        return (InetSocketAddress) channel.localAddress();
    }

    /** Its id, the same at every balancer. */
    public String id() {
        return id;
    }

    /** What can be done to it; on the lab's event loop only. */
    public UpstreamModel model() {
        return model;
    }

    /** How many connections it has accepted so far; on the lab's event loop only. */
    public long accepted() {
        return accepted;
    }

    /** Goes on where a hang ended; on the lab's event loop only. */
    public void hang(boolean on) {
        model.hang(clock.micros(), on);
        comeWhenDue();
    }

    /** The process dies: connections are reset, new ones refused. On the lab's event loop only. */
    public void stop() {
        listening.forEach(Channel::close);
        List.copyOf(connections).forEach(FakeUpstreamServer::reset);
        open.clear();
    }

    private static void reset(Channel channel) {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    private void comeWhenDue() {
        long next = model.next();
        if (next < dueAt) {
            if (due != null) {
                due.cancel(false);
            }
            dueAt = next;
            due =
                    loop.schedule(
                            () -> {
                                dueAt = Long.MAX_VALUE;
                                model.due(clock.micros());
                                comeWhenDue();
                            },
                            Math.max(0, next - clock.micros()),
                            TimeUnit.MICROSECONDS);
        }
    }

    private void ended(long ticket, End end) {
        Exchange exchange = open.remove(ticket);
        if (exchange == null) {
            return; // whoever sent it has gone
        }
        switch (end) {
            case SERVED -> {
                String body = id + " made " + ticket + " for " + exchange.request();
                checker.responseProduced(exchange.request(), body);
                answer(exchange.ctx(), HttpResponseStatus.OK, body, false);
            }
            case ERROR ->
                    answer(exchange.ctx(), HttpResponseStatus.INTERNAL_SERVER_ERROR, "", false);
            default -> {
                checker.attemptRejected(exchange.request(), exchange.at());
                answer(exchange.ctx(), HttpResponseStatus.SERVICE_UNAVAILABLE, "", true);
            }
        }
    }

    private void answer(
            ChannelHandlerContext ctx, HttpResponseStatus status, String text, boolean unseen) {
        ByteBuf body = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        DefaultFullHttpResponse answer =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        String report = model.report(clock.micros());
        if (report != null) {
            answer.headers().set("X-Backend-Load", report);
        }
        if (unseen) {
            answer.headers().set("X-Unprocessed", "1");
        }
        ctx.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** One connection of a balancer's; it carries one request at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final String balancer;
        private long ticket = -1;

        Connection(String balancer) {
            this.balancer = balancer;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            accepted++;
            connections.add(ctx.channel());
            if (connections.size() > kind.connections()) {
                reset(ctx.channel());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(ctx.channel());
            if (open.remove(ticket) != null) {
                model.abandoned(ticket);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            String path = new QueryStringDecoder(request.uri()).path();
            if (path.equals("/healthz") || path.equals("/load")) {
                String report = model.report(clock.micros());
                boolean well = !model.draining();
                answer(
                        ctx,
                        well ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                        path.equals("/load") && report != null ? report : "",
                        false);
                return;
            }
            String correlation = request.headers().get("X-Correlation-Id");
            if (correlation == null) {
                answer(ctx, HttpResponseStatus.NOT_FOUND, "", false);
                return;
            }
            long now = clock.micros();
            double work = workOf.applyAsDouble(correlation);
            checker.attemptReceived(now, balancer, id, correlation, Double.isNaN(work) ? 0 : work);
            if (Double.isNaN(work)) {
                answer(ctx, HttpResponseStatus.BAD_REQUEST, "", false);
                return;
            }
            ticket = tickets++;
            open.put(ticket, new Exchange(ctx, correlation, now));
            List<String> keys = new QueryStringDecoder(request.uri()).parameters().get("key");
            int left = request.headers().getInt("X-Time-Left-Ms", Integer.MAX_VALUE);
            model.arrived(
                    now, ticket, keys == null ? null : keys.get(0), work, now + left * 1_000L);
            comeWhenDue();
        }

        /**
         * A reset is one way for a connection to end; what it means is seen when it is inactive.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
