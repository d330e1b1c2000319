package myrtleladder.loadbalancer.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.FileDescriptorMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.core.instrument.binder.system.UptimeMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import myrtleladder.cluster.ConsensusRuntime;
import myrtleladder.cluster.ConsensusStatus;
import myrtleladder.cluster.MembershipRuntime;
import myrtleladder.error.OperatorError;
import myrtleladder.error.OperatorError.NoMajority;
import myrtleladder.error.OperatorError.OldPermit;
import myrtleladder.error.OperatorError.PeerBusy;
import myrtleladder.error.OperatorError.UnknownMachine;
import myrtleladder.loadbalancer.server.BalancerStatus;

/**
 * For operators, over the loopback: the figures of one balancer ({@code /metrics}), what it holds
 * of its fleet ({@code /members}), of what that agrees on ({@code /agreement}) and of the work on
 * machines ({@code /work}), which takes plans as well. It has a thread of its own; the balancer
 * pays for one event of its loop each time somebody asks. For one that is too busy for that within
 * a second the answer is 503, which tells as much.
 */
final class Admin implements AutoCloseable {
    private static final ObjectMapper JSON = JsonMapper.builder().build();
    private static final int MAX_BODY = 256 * 1_024;
    private static final long PATIENCE_MS = 1_000;
    private static final BalancerStatus NOTHING =
            new BalancerStatus(false, 0, 0, 0, 0, 0, Map.of(), Map.of());

    private final PrometheusMeterRegistry registry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("admin", true), NioIoHandler.newFactory());
    private final Supplier<Future<BalancerStatus>> balancer;

    /** Null where no peers are configured. */
    private final MembershipRuntime members;

    /** Null where no council is configured. */
    private final ConsensusRuntime agreement;

    /** Null with that. */
    private final WorkDesk work;

    private final Channel listening;
    private volatile BalancerStatus status = NOTHING;
    private volatile ConsensusStatus agreed;

    /** Answers at an address from now on; what is not configured is null. */
    Admin(
            InetSocketAddress listen,
            String process,
            Supplier<Future<BalancerStatus>> balancer,
            MembershipRuntime members,
            ConsensusRuntime agreement,
            WorkDesk work) {
        this.balancer = balancer;
        this.members = members;
        this.agreement = agreement;
        this.work = work;
        registerProcessMetrics(process);
        registerServiceMetrics();
        if (agreement != null) {
            registerAgreementMetrics();
        }
        refresh();
        for (String end : status.attempts().keySet()) {
            counter(
                    "yewyoke.attempts",
                    "Attempts by how they ended",
                    Tags.of("end", end),
                    s -> s.attempts().getOrDefault(end, 0L));
        }
        listening =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(MAX_BODY),
                                                        new Reader());
                                    }
                                })
                        .bind(listen)
                        .syncUninterruptibly()
                        .channel();
    }

    private void registerProcessMetrics(String process) {
        registry.config().commonTags("process", process);
        new JvmMemoryMetrics().bindTo(registry);
        new FileDescriptorMetrics().bindTo(registry);
        new ProcessorMetrics().bindTo(registry);
        new UptimeMetrics().bindTo(registry);
    }

    private void registerServiceMetrics() {
        gauge("yewyoke.ready", "1 if there is a list to serve from", s -> s.isReady() ? 1 : 0);
        gauge("yewyoke.upstreams", "Upstreams on the list", BalancerStatus::upstreams);
        gauge(
                "yewyoke.requests.open",
                "Requests taken and not ended",
                BalancerStatus::openRequests);
        gauge("yewyoke.connections", "Connections to upstreams", BalancerStatus::connections);
        counter(
                "yewyoke.connects",
                "Connections opened to upstreams",
                Tags.empty(),
                BalancerStatus::connects);
        counter("yewyoke.requests", "Requests taken", Tags.empty(), BalancerStatus::requests);
        for (String answer : new String[] {"served", "refused", "failed", "left"}) {
            counter(
                    "yewyoke.answers",
                    "Requests by how they ended",
                    Tags.of("answer", answer),
                    s -> s.answers().getOrDefault(answer, 0L));
        }
    }

    private void registerAgreementMetrics() {
        agreed(
                "yewyoke.agreement.decides",
                "1 if a majority of the council is heard here",
                l -> l.decides() ? 1 : 0);
        agreed(
                "yewyoke.agreement.leads",
                "1 if this process leads",
                l -> l.self().equals(l.leader()) ? 1 : 0);
        agreed("yewyoke.agreement.members", "Lives in the view", l -> l.view().lives().size());
        agreed("yewyoke.agreement.applied", "Decrees known here", ConsensusStatus::applied);
        agreed(
                "yewyoke.agreement.waiting",
                "Commands of this process that are not decided",
                ConsensusStatus::waiting);
    }

    /** Where they can be read. */
    InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    private void gauge(String name, String what, ToDoubleFunction<BalancerStatus> value) {
        Gauge.builder(name, () -> value.applyAsDouble(status)).description(what).register(registry);
    }

    /** A figure of the agreement; not a number while the event loop does not answer. */
    private void agreed(String name, String what, ToDoubleFunction<ConsensusStatus> value) {
        Gauge.builder(name, () -> agreed == null ? Double.NaN : value.applyAsDouble(agreed))
                .description(what)
                .register(registry);
    }

    private void counter(
            String name, String what, Tags tags, Function<BalancerStatus, Long> value) {
        FunctionCounter.builder(name, this, m -> value.apply(m.status))
                .description(what)
                .tags(tags)
                .register(registry);
    }

    /** Asks the balancer; whether it has answered in time. */
    private boolean refresh() {
        BalancerStatus now = got(balancer.get());
        status = now == null ? status : now;
        agreed = agreement == null ? null : got(agreement.look());
        return now != null;
    }

    /** What the event loop answered; null if it did not in time. */
    static <T> T got(Future<T> asked) {
        return asked.awaitUninterruptibly(PATIENCE_MS) && asked.isSuccess() ? asked.getNow() : null;
    }

    private final class Reader extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request)
                throws JsonProcessingException {
            if (request.method().equals(HttpMethod.POST)) {
                post(ctx, request);
                return;
            }
            switch (request.uri()) {
                case "/metrics" ->
                        answer(
                                ctx,
                                refresh() ? registry.scrape() : null,
                                "text/plain; version=0.0.4; charset=utf-8");
                case "/members" ->
                        look(ctx, members == null ? null : members::look, "no peers are");
                case "/agreement" ->
                        look(ctx, agreement == null ? null : agreement::look, "no council is");
                case "/work" -> look(ctx, work == null ? null : work::look, "no council is");
                default ->
                        answer(
                                ctx,
                                HttpResponseStatus.NOT_FOUND,
                                "try /metrics, /members, /agreement or /work\n",
                                "text/plain");
            }
        }

        private void post(ChannelHandlerContext ctx, FullHttpRequest request)
                throws JsonProcessingException {
            String uri = request.uri();
            if (work == null || !uri.equals("/work") && !uri.startsWith("/work/")) {
                answer(
                        ctx,
                        HttpResponseStatus.NOT_FOUND,
                        work == null ? "no council is configured\n" : "only /work takes anything\n",
                        "text/plain");
                return;
            }
            try {
                answer(
                        ctx,
                        HttpResponseStatus.ACCEPTED,
                        work.post(
                                uri.substring(Math.min(uri.length(), "/work/".length())),
                                request.content().toString(StandardCharsets.UTF_8)),
                        "application/json");
            } catch (OperatorError e) {
                answer(
                        ctx,
                        e instanceof UnknownMachine
                                ? HttpResponseStatus.NOT_FOUND
                                : e instanceof OldPermit
                                        ? HttpResponseStatus.CONFLICT
                                        : e instanceof NoMajority || e instanceof PeerBusy
                                                ? HttpResponseStatus.SERVICE_UNAVAILABLE
                                                : HttpResponseStatus.BAD_REQUEST,
                        e.getMessage() + "\n",
                        "text/plain");
            }
        }

        /** What a part holds; {@code part} is null where it is not configured. */
        private void look(
                ChannelHandlerContext ctx, Supplier<? extends Future<?>> part, String without)
                throws JsonProcessingException {
            if (part == null) {
                answer(ctx, HttpResponseStatus.NOT_FOUND, without + " configured\n", "text/plain");
                return;
            }
            Object look = got(part.get());
            answer(ctx, look == null ? null : JSON.writeValueAsString(look), "application/json");
        }

        private void answer(ChannelHandlerContext ctx, String text, String type) {
            answer(
                    ctx,
                    text == null ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK,
                    text == null ? "the event loop is busy\n" : text,
                    text == null ? "text/plain" : type);
        }

        private void answer(
                ChannelHandlerContext ctx, HttpResponseStatus status, String text, String type) {
            DefaultFullHttpResponse answer =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            status,
                            Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
            answer.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, type)
                    .set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes())
                    .set(HttpHeaderNames.CONNECTION, "close");
            ctx.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
        }

        /** A reader that goes away has nothing to be told. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    @Override
    public void close() {
        listening.close().syncUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        registry.close();
    }
}
