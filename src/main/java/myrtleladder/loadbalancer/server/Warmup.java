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
 * The warm-up run: serves generated requests over in-memory channels before the balancer opens.
 * Code that runs for the first time has to be loaded and interpreted, which takes many times the
 * CPU time of compiled code. On a fraction of a core, a balancer without warm-up fell seconds
 * behind the requests of its clients, and retries of the timed-out requests added to the load.
 *
 * <p>The balancer, its upstreams and its clients all run on the caller's thread.
 */
final class Warmup {
    private static final System.Logger LOG = System.getLogger(Warmup.class.getName());

    /** Number of client connections. */
    private static final int CLIENTS = 16;

    /**
     * Minimum number of requests. One per connection is enough to load and link every class of the
     * common path, which is most of the cost of a first request. The compilation that remains takes
     * some milliseconds per request while the balancer serves. If many balancers share the traffic,
     * that costs less than a longer start.
     */
    private static final int MIN_REQUESTS = CLIENTS;

    /**
     * Maximum number of requests; applies to small groups, whose balancers get their full load as
     * soon as they open.
     */
    private static final int MAX_REQUESTS = 100;

    /** Number of requests divided among the balancers of a group, within the bounds above. */
    private static final int GROUP_REQUESTS = 400;

    /**
     * Maximum time to wait for responses once the clients are connected. A restarting balancer
     * should open with less warm-up rather than late.
     */
    private static final long MAX_DURATION_MS = 6_000;

    /** Number of upstreams. */
    private static final int UPSTREAMS = 4;

    /** Size of a body in bytes; also the number of affinity keys that requests cycle through. */
    private static final int BODY_BYTES = 1_000;

    /** Remaining time that a request states in its header, in milliseconds. */
    private static final int TIME_LEFT_MS = 1_000;

    private final BalancerConfig config;
    private final ManualIoEventLoop loop;
    private final List<Channel> channels = new ArrayList<>();

    /**
     * Number of responses still to be received. The run ends at 0, when other clients may still
     * wait for a response.
     */
    private int requestsLeft;

    private int requestsSent;
    private int responsesSent;

    /** Number of responses received with status 200. */
    private int requestsServed;

    private Warmup(BalancerConfig config, ManualIoEventLoop loop) {
        this.config = config;
        this.loop = loop;
        int groupSize = Math.max(1, config.settings().balancer().groupSize());
        this.requestsLeft =
                Math.max(MIN_REQUESTS, Math.min(MAX_REQUESTS, GROUP_REQUESTS / groupSize));
    }

    /**
     * Runs until the required number of responses has arrived or the maximum duration has passed.
     * Returns the number of responses with status 200. Logs a failure and returns 0; the balancer
     * then starts without warm-up.
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
            // The balancer can serve without the warm-up run.
            LOG.log(System.Logger.Level.WARNING, "warm-up run failed, starting without it", e);
            return 0;
        }
    }

    /**
     * Closes the channels, since their in-memory addresses are registered for the whole process.
     * The loop itself is not shut down: Netty would start an extra thread only to signal that the
     * shutdown is complete.
     */
    private void close() throws InterruptedException {
        List<ChannelFuture> closing = channels.stream().map(Channel::close).toList();
        while (!closing.stream().allMatch(ChannelFuture::isDone)) {
            runLoopOnce();
        }
    }

    /**
     * Runs one loop iteration on the caller's thread; sleeps 1 ms if there was nothing to do. The
     * loop has no thread of its own: with one, it was seen to spin forever at the start if only one
     * thread could run at a time.
     */
    private void runLoopOnce() throws InterruptedException {
        if (loop.runNow() == 0) {
            Thread.sleep(1);
        }
    }

    /** Waits until a channel is bound or connected, and registers it for {@link #close}. */
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
                config.maxFileDescriptors(),
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

    /** An upstream that responds at once. */
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

    /** A client that sends each request after the response to its previous one. */
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
