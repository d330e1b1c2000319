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
import myrtleladder.loadbalancer.policy.Idempotency;
import myrtleladder.loadbalancer.policy.Upstream.State;

/**
 * The warm-up run: serves requests of its own, in memory, before the first client may connect. Code
 * that has never run is loaded and interpreted at many times the CPU of warm code; with part of a
 * core, a balancer that opened cold was seconds behind its clients, and the requests that timed out
 * meanwhile came back as more.
 *
 * <p>All of it, a balancer with its upstreams and clients, runs on the caller's thread.
 */
final class Warmup {
    private static final System.Logger LOG = System.getLogger(Warmup.class.getName());

    /** Number of client connections. */
    private static final int CLIENTS = 16;

    /**
     * Fewest requests. One on each connection is enough for every class of the common path to be
     * loaded and linked, which is most of what a first request costs; the rest is compiled while it
     * serves, for some milliseconds a request. Where many balancers share the traffic, that is
     * cheaper than to be away longer.
     */
    private static final int MIN_REQUESTS = CLIENTS;

    /** Most requests. The few balancers of a small group have full load at once. */
    private static final int MAX_REQUESTS = 100;

    /** Requests of all balancers of a group together, as far as the bounds allow. */
    private static final int GROUP_REQUESTS = 400;

    /** Longest run; a balancer that restarts should open cold rather than late. */
    private static final long MAX_DURATION_MS = 6_000;

    /** Number of upstreams. */
    private static final int UPSTREAMS = 4;

    /** Size of a body in bytes, and number of distinct affinity keys. */
    private static final int BODY_BYTES = 1_000;

    private static final int TIME_LEFT_MS = 1_000;

    private final BalancerConfig config;
    private final ManualIoEventLoop loop;
    private final List<Channel> channels = new ArrayList<>();
    private int requestsLeft;
    private int requestsSent;
    private int responsesSent;
    private int requestsServed;

    private Warmup(BalancerConfig config, ManualIoEventLoop loop) {
        this.config = config;
        this.loop = loop;
        int groupSize = Math.max(1, config.settings().balancer().groupSize());
        this.requestsLeft =
                Math.max(MIN_REQUESTS, Math.min(MAX_REQUESTS, GROUP_REQUESTS / groupSize));
    }

    /**
     * Runs until warm, or for the longest time allowed; a failure is logged, and the balancer
     * starts cold. Returns how many requests were served.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    static int run(BalancerConfig config) throws InterruptedException {
        ManualIoEventLoop loop =
                new ManualIoEventLoop(Thread.currentThread(), LocalIoHandler.newFactory());
        try {
            Warmup warmup = new Warmup(config, loop);
            try {
                warmup.serveRequests();
            } finally {
                warmup.close();
            }
            LOG.log(
                    System.Logger.Level.INFO,
                    "rehearsed with " + warmup.requestsServed + " requests");
            return warmup.requestsServed;
        } catch (InterruptedException e) {
            throw e;
        } catch (Exception e) {
            // Nothing of the warm-up run is needed to serve.
            LOG.log(System.Logger.Level.WARNING, "could not rehearse, so the start is cold", e);
            return 0;
        }
    }

    /**
     * Closes the channels, whose local addresses are registered in this process. The loop itself is
     * not shut down: that is announced by a thread of the library, which the process would start
     * for this alone.
     */
    private void close() throws InterruptedException {
        List<ChannelFuture> closing = channels.stream().map(Channel::close).toList();
        while (!closing.stream().allMatch(ChannelFuture::isDone)) {
            runLoopOnce();
        }
    }

    /**
     * One turn of the loop, on the caller's thread: on a thread of its own the loop was seen to
     * spin for good at a start, where only one thread runs at a time.
     */
    private void runLoopOnce() throws InterruptedException {
        if (loop.runNow() == 0) {
            Thread.sleep(1);
        }
    }

    /** Waits for a channel to be bound or connected, and keeps it to be closed. */
    private void await(ChannelFuture future) throws Exception {
        channels.add(future.channel());
        while (!future.isDone()) {
            runLoopOnce();
        }
        future.sync();
    }

    private void serveRequests() throws Exception {
        List<EndpointList.Endpoint> upstreams =
                IntStream.range(0, UPSTREAMS).mapToObj(this::endpoint).toList();
        for (EndpointList.Endpoint upstream : upstreams) {
            bindUpstream(upstream.address());
        }
        await(
                LoadBalancerBootstrap.create(warmupConfig(upstreams), loop, Transport.MEMORY)
                        .bind(Transport.MEMORY, config.listen()));
        for (int i = 0; i < CLIENTS; i++) {
            connectClient();
        }
        long startNanos = System.nanoTime();
        long maxDurationNanos = TimeUnit.MILLISECONDS.toNanos(MAX_DURATION_MS);
        while (requestsLeft > 0 && System.nanoTime() - startNanos < maxDurationNanos) {
            runLoopOnce();
        }
    }

    private void bindUpstream(InetSocketAddress address) throws Exception {
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
                                                        newAggregator(),
                                                        new UpstreamHandler());
                                    }
                                })
                        .bind(Transport.MEMORY.address(address)));
    }

    private void connectClient() throws Exception {
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
                                                        newAggregator(),
                                                        new ClientHandler());
                                    }
                                })
                        .connect(Transport.MEMORY.address(config.listen())));
    }

    private static HttpObjectAggregator newAggregator() {
        return new HttpObjectAggregator(UpstreamConnectionPool.MAX_BODY_BYTES);
    }

    /** The balancer's own configuration, with the upstreams of the warm-up run. */
    private BalancerConfig warmupConfig(List<EndpointList.Endpoint> upstreams) {
        return new BalancerConfig(
                config.listen(),
                config.discovery(),
                config.seed(),
                config.sockets(),
                config.memoryMb(),
                new EndpointList(0, true, upstreams),
                config.settings());
    }

    private EndpointList.Endpoint endpoint(int number) {
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

    private static ByteBuf newBody() {
        return Unpooled.wrappedBuffer(new byte[BODY_BYTES]);
    }

    /** An upstream that serves at once. */
    private final class UpstreamHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.OK, newBody());
            String load = "cpu=0." + ++responsesSent % 10 + ",rps=9,err_rps=0";
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, BODY_BYTES)
                    .set("X-Backend-Load", load);
            ctx.writeAndFlush(response);
        }
    }

    /** A client that sends one request after another. */
    private final class ClientHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            send(ctx);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (response.status().code() == HttpResponseStatus.OK.code()) {
                requestsServed++;
            }
            requestsLeft--;
            if (requestsLeft > 0) {
                send(ctx);
            }
        }

        private void send(ChannelHandlerContext ctx) {
            int number = requestsSent++;
            int classIndex = number % config.settings().classes().size();
            String className = config.settings().classes().get(classIndex);
            Idempotency idempotency =
                    config.settings().balancer().classes().get(classIndex).idempotency();
            boolean isGet = idempotency == Idempotency.IDEMPOTENT;
            FullHttpRequest request =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            isGet ? HttpMethod.GET : HttpMethod.POST,
                            "/" + className + "?key=k" + number % BODY_BYTES,
                            isGet ? Unpooled.EMPTY_BUFFER : newBody());
            request.headers()
                    .set("Host", "rehearsal")
                    .set("X-Correlation-Id", "rehearsal-" + number)
                    .set("X-Service-Class", className)
                    .set(RequestDispatcher.TIME_LEFT_HEADER, TIME_LEFT_MS)
                    .set("Idempotency-Key", "rehearsal-" + number)
                    .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
            if (!config.settings().tenants().isEmpty()) {
                request.headers().set("X-Account", config.settings().tenants().get(0));
            }
            ctx.writeAndFlush(request);
        }
    }
}
