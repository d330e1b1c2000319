package myrtleladder.testbed.fake;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import myrtleladder.testbed.checker.Checker;

/**
 * Discovery on sockets: the whole list, and watches on its changes. It works through calls in turn
 * and turns away those that would wait too long; changes reach its watches late; it can be down.
 * Each balancer has an address of its own to call, so it is known who was told what. All of it
 * lives on the lab's event loop.
 */
public final class FakeDiscoveryServer {
    private static final JsonFactory JSON = new JsonFactory();
    private static final long EMPTY_LINE_S = 2;

    private final EventLoop loop;
    private final TestbedClock clock;
    private final Checker checker;
    private final long callMicros;
    private final long longestWait;
    private final Map<String, Known> list = new LinkedHashMap<>();
    private final Set<Watch> watches = new LinkedHashSet<>();
    private final Set<Channel> connections = new LinkedHashSet<>();
    private final List<Channel> listening = new ArrayList<>();
    private long version;
    private long late;
    private long busyUntil;
    private long calls;
    private boolean down;

    /**
     * A call takes {@code callMicros} of its time; one that would wait beyond the longest is turned
     * away.
     */
    public FakeDiscoveryServer(
            EventLoop loop,
            TestbedClock clock,
            Checker checker,
            long callMicros,
            long longestWait) {
        this.loop = loop;
        this.clock = clock;
        this.checker = checker;
        this.callMicros = callMicros;
        this.longestWait = longestWait;
    }

    /** State of an upstream in the list, by the name that the protocol gives it. */
    public enum State {
        /** Takes requests. */
        READY("Ready"),
        /** Finishes what it has. */
        DRAINING("Terminating"),
        /** Is no more. */
        GONE("Gone");

        private final String name;

        State(String name) {
            this.name = name;
        }
    }

    /** One upstream; {@code addresses} has where each balancer finds it. */
    public record Entry(
            String id,
            Map<String, InetSocketAddress> addresses,
            String zone,
            String kind,
            State state,
            long startedMs) {}

    private record Known(Entry entry, long version) {}

    private record Watch(String balancer, ChannelHandlerContext ctx) {}

    /** Opens the address at which a balancer calls. */
    public InetSocketAddress openFor(String balancer) {
        Channel channel =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel ch) {
                                        ch.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(1_024),
                                                        new Calls(balancer));
                                    }
                                })
                        .bind(new InetSocketAddress("127.0.0.1", 0))
                        .syncUninterruptibly()
                        .channel();
        loop.submit(() -> listening.add(channel)).syncUninterruptibly();
        return (InetSocketAddress) channel.localAddress();
    }

    /** Something is new in the list; on the lab's event loop only. */
    public void change(Collection<Entry> entries) {
        version++;
        entries.forEach(e -> list.put(e.id(), new Known(e, version)));
        long from = version;
        loop.schedule(
                () -> List.copyOf(watches).forEach(w -> line(w.ctx(), w.balancer(), from - 1)),
                late,
                TimeUnit.MICROSECONDS);
    }

    /** One that is listed drains from now on; on the lab's event loop only. */
    public void retire(String id) {
        Entry e = list.get(id).entry();
        change(
                List.of(
                        new Entry(
                                id,
                                e.addresses(),
                                e.zone(),
                                e.kind(),
                                State.DRAINING,
                                e.startedMs())));
    }

    /** Changes reach watches so much later from now on; on the lab's event loop only. */
    public void late(long micros) {
        late = micros;
    }

    /** Out of reach, with all watches ended, or back; on the lab's event loop only. */
    public void down(boolean on) {
        down = on;
        if (on) {
            List.copyOf(connections).forEach(Channel::close);
        }
    }

    /** The calls that it has been asked so far; on the lab's event loop only. */
    public long calls() {
        return calls;
    }

    /** Ends all; on the lab's event loop only. */
    public void stop() {
        listening.forEach(Channel::close);
        List.copyOf(connections).forEach(Channel::close);
    }

    /**
     * The list as a balancer is told it: all that is not gone, or all that changed after a version.
     */
    public String json(String balancer, boolean full, long since) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            out.writeNumberField("version", version);
            out.writeBooleanField("full", full);
            out.writeArrayFieldStart("servers");
            for (Known k : list.values()) {
                if (full ? k.entry().state() != State.GONE : k.version() > since) {
                    entry(out, balancer, k.entry());
                }
            }
            out.writeEndArray();
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // a string takes all that is written to it
        }
        return text.toString();
    }

    private static void entry(JsonGenerator out, String balancer, Entry e) throws IOException {
        InetSocketAddress addr = e.addresses().get(balancer);
        out.writeStartObject();
        out.writeStringField("id", e.id());
        out.writeStringField("addr", addr.getAddress().getHostAddress() + ":" + addr.getPort());
        out.writeStringField("zone", e.zone());
        out.writeStringField("kind", e.kind());
        out.writeNumberField("cell", 0);
        out.writeStringField("state", e.state().name);
        out.writeNumberField("weight", 1.0);
        out.writeNumberField("started_ms", e.startedMs());
        out.writeEndObject();
    }

    /** Writes a line of a watch; the rule on drains counts from here. */
    private void line(ChannelHandlerContext ctx, String balancer, long since) {
        told(balancer, since);
        write(ctx, json(balancer, false, since) + "\n");
    }

    private void told(String balancer, long since) {
        long now = clock.micros();
        list.values().stream()
                .filter(k -> k.version() > since && k.entry().state() != State.READY)
                .forEach(k -> checker.drainReported(now, balancer, k.entry().id()));
    }

    private static void write(ChannelHandlerContext ctx, String text) {
        ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        ctx.writeAndFlush(new DefaultHttpContent(bytes));
    }

    /** One connection of a balancer's. */
    private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final String balancer;

        Calls(String balancer) {
            this.balancer = balancer;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(ctx.channel());
            if (down) {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(ctx.channel());
            watches.removeIf(w -> w.ctx() == ctx);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            calls++;
            long now = clock.micros();
            busyUntil = Math.max(busyUntil, now) + callMicros;
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            if (!uri.path().equals("/v1/servers")) {
                whole(ctx, HttpResponseStatus.NOT_FOUND, "");
            } else if (busyUntil - now > longestWait) {
                busyUntil -= callMicros;
                whole(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "");
            } else {
                loop.schedule(() -> serve(ctx, uri), busyUntil - now, TimeUnit.MICROSECONDS);
            }
        }

        private void serve(ChannelHandlerContext ctx, QueryStringDecoder uri) {
            if (!uri.parameters().containsKey("follow")) {
                told(balancer, 0);
                whole(ctx, HttpResponseStatus.OK, json(balancer, true, 0) + "\n");
                return;
            }
            DefaultHttpResponse head =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            HttpUtil.setTransferEncodingChunked(head, true);
            ctx.write(head);
            watches.add(new Watch(balancer, ctx));
            List<String> since = uri.parameters().getOrDefault("since", List.of("0"));
            line(ctx, balancer, Long.parseLong(since.get(0)));
            var beats =
                    loop.scheduleWithFixedDelay(
                            () -> write(ctx, "\n"), EMPTY_LINE_S, EMPTY_LINE_S, TimeUnit.SECONDS);
            ctx.channel().closeFuture().addListener(f -> beats.cancel(false));
        }

        private void whole(ChannelHandlerContext ctx, HttpResponseStatus status, String text) {
            ByteBuf body = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
            DefaultFullHttpResponse answer =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            answer.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            ctx.writeAndFlush(answer).addListener(f -> ctx.close());
        }

        /** A balancer that dies resets its calls; that they have ended is all there is to know. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
