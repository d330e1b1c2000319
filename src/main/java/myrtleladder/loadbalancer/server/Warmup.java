package myrtleladder.loadbalancer.server;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.local.LocalIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import myrtleladder.loadbalancer.policy.Balancer.Effect;
import myrtleladder.loadbalancer.policy.Balancer.State;

/**
 * Serves requests of its own, in memory, before the first client may come. Code that has never run
 * is loaded and interpreted at many times the CPU of a warm one; with part of a core, a balancer
 * that opened cold was seconds behind its clients, and the requests that timed out meanwhile came
 * back as more.
 */
final class Warmup {
    private static final System.Logger LOG = System.getLogger(Warmup.class.getName());
    private static final int CLIENTS = 16;

    /**
     * One on each connection is enough for every class of the common path to be loaded and linked,
     * and that is most of what a first request costs. What is left cold is compiled while it
     * serves, for some milliseconds a request. Where many balancers share the traffic, that is
     * cheaper than to be away longer; a few take it at full blast, and opened cold they fell
     * behind.
     */
    private static final int FEWEST = CLIENTS;

    private static final int MOST = 100;

    /** So many requests are rehearsed by all balancers together, as far as the bounds allow. */
    private static final int BY_ALL = 400;

    /** A restarted balancer is missed: rather open somewhat cold than late. */
    private static final long LONGEST_MS = 6_000;

    private static final int UPSTREAMS = 4;
    private static final int BODY = 1_000;
    private final BalancerConfig config;
    private final ManualIoEventLoop loop;
    private final List<Channel> channels = new ArrayList<>();
    private int left;
    private int sent;
    private int answered;
    private int served;

    private Warmup(BalancerConfig config, ManualIoEventLoop loop) {
        this.config = config;
        this.loop = loop;
        int group = Math.max(1, config.facts().settings().groupSize());
        this.left = Math.max(FEWEST, Math.min(MOST, BY_ALL / group));
    }

    /**
     * Runs until warm, or for the longest time allowed; a balancer that can't rehearse starts cold.
     * Returns how many requests were served.
     */
    static int run(BalancerConfig config) throws InterruptedException {
        ManualIoEventLoop loop =
                new ManualIoEventLoop(Thread.currentThread(), LocalIoHandler.newFactory());
        try {
            Warmup rehearsal = new Warmup(config, loop);
            try {
                rehearsal.play();
            } finally {
                rehearsal.close();
            }
            LOG.log(System.Logger.Level.INFO, "rehearsed with " + rehearsal.served + " requests");
            return rehearsal.served;
        } catch (InterruptedException e) {
            throw e;
        } catch (Exception e) {
            LOG.log(System.Logger.Level.WARNING, "could not rehearse, so the start is cold", e);
            return 0;
        }
    }

    /**
     * Ends what has a name of its own in this process. The loop itself is only let go of: told to
     * end, it has that announced by a thread of the library, which the process would start for this
     * alone.
     */
    private void close() throws InterruptedException {
        List<ChannelFuture> closing = channels.stream().map(Channel::close).toList();
        while (!closing.stream().allMatch(ChannelFuture::isDone)) {
            turn();
        }
    }

    /**
     * One turn of the loop, on the caller's thread: on a thread of its own the loop was seen to
     * spin for good at a start, where only one thread runs at a time.
     */
    private void turn() throws InterruptedException {
        if (loop.runNow() == 0) {
            Thread.sleep(1);
        }
    }

    private void await(ChannelFuture future) throws Exception {
        channels.add(future.channel());
        while (!future.isDone()) {
            turn();
        }
        future.sync();
    }

    private void play() throws Exception {
        List<EndpointList.Endpoint> upstreams =
                IntStream.range(0, UPSTREAMS).mapToObj(this::upstream).toList();
        for (EndpointList.Endpoint u : upstreams) {
            await(
                    Transport.MEMORY
                            .server(loop)
                            .childHandler(
                                    new ChannelInitializer<Channel>() {
                                        @Override
                                        protected void initChannel(Channel channel) {
                                            channel.pipeline()
                                                    .addLast(
                                                            new HttpServerCodec(),
                                                            new HttpObjectAggregator(
                                                                    UpstreamConnectionPool
                                                                            .MAX_BODY),
                                                            new Upstream());
                                        }
                                    })
                            .bind(Transport.MEMORY.address(u.addr())));
        }
        BalancerConfig rehearsed =
                new BalancerConfig(
                        config.listen(),
                        config.discovery(),
                        config.seed(),
                        config.sockets(),
                        config.memoryMb(),
                        new EndpointList(0, true, upstreams),
                        config.facts());
        await(
                Main.follow(rehearsed, loop, Transport.MEMORY)
                        .bind(Transport.MEMORY, config.listen()));
        for (int i = 0; i < CLIENTS; i++) {
            await(
                    Transport.MEMORY
                            .client(loop)
                            .handler(
                                    new ChannelInitializer<Channel>() {
                                        @Override
                                        protected void initChannel(Channel channel) {
                                            channel.pipeline()
                                                    .addLast(
                                                            new HttpClientCodec(),
                                                            new HttpObjectAggregator(
                                                                    UpstreamConnectionPool
                                                                            .MAX_BODY),
                                                            new Client());
                                        }
                                    })
                            .connect(Transport.MEMORY.address(config.listen())));
        }
        long begun = System.nanoTime();
        while (left > 0 && System.nanoTime() - begun < TimeUnit.MILLISECONDS.toNanos(LONGEST_MS)) {
            turn();
        }
    }

    private EndpointList.Endpoint upstream(int number) {
        return new EndpointList.Endpoint(
                "rehearsal-" + number,
                new InetSocketAddress(config.listen().getAddress(), number + 1),
                "",
                "",
                number,
                State.READY,
                1,
                0);
    }

    private static ByteBuf body() {
        return Unpooled.wrappedBuffer(new byte[BODY]);
    }

    /** Stands for a server. */
    private final class Upstream extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            FullHttpResponse answer =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.OK, body());
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY);
            answer.headers().set("X-Backend-Load", "cpu=0." + ++answered % 10 + ",rps=9,err_rps=0");
            ctx.writeAndFlush(answer);
        }
    }

    /** Stands for a client: one request at a time, over and over. */
    private final class Client extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            send(ctx);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            served += answer.status().code() == HttpResponseStatus.OK.code() ? 1 : 0;
            left--;
            if (left > 0) {
                send(ctx);
            }
        }

        private void send(ChannelHandlerContext ctx) {
            int number = sent++;
            int c = number % config.facts().classes().size();
            String name = config.facts().classes().get(c);
            boolean get = config.facts().settings().classes().get(c).effect() == Effect.SAFE;
            FullHttpRequest request =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            get ? HttpMethod.GET : HttpMethod.POST,
                            "/" + name + "?key=k" + number % BODY,
                            get ? Unpooled.EMPTY_BUFFER : body());
            request.headers()
                    .set("Host", "rehearsal")
                    .set("X-Correlation-Id", "rehearsal-" + number)
                    .set("X-Service-Class", name)
                    .set(BalancerRuntime.TIME_LEFT, 1_000)
                    .set("Idempotency-Key", "rehearsal-" + number)
                    .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
            if (!config.facts().tenants().isEmpty()) {
                request.headers().set("X-Account", config.facts().tenants().get(0));
            }
            ctx.writeAndFlush(request);
        }
    }
}
