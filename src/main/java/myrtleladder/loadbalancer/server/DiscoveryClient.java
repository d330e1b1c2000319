package myrtleladder.loadbalancer.server;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import myrtleladder.error.OperatorError.BadInput;
import myrtleladder.error.OperatorError.BadList;
import myrtleladder.loadbalancer.policy.Balancer.ListKind;

/**
 * Follows the list of upstreams: one watch, kept open from the version known, and single lists if
 * asked.
 */
final class DiscoveryClient {
    private static final System.Logger LOG = System.getLogger(DiscoveryClient.class.getName());
    private static final String LIST = "/v1/servers";
    private static final int MAX_LINE = 4 << 20;

    /**
     * A watch says something every 2 s; one silent for longer may be cut off, and what it has is
     * unheard.
     */
    private static final long SILENCE_MS = 3_000;

    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final EventLoop loop;
    private final Transport transport;
    private final boolean asked;
    private final BalancerRuntime driver;
    private InetSocketAddress address;
    private long version;
    private boolean wanted;
    private Call watch;
    private Call repair;
    private final Backoff watchBackoff = new Backoff();

    /** A line could not be read, so what is known may lack something until the next whole list. */
    private boolean incomplete;

    private final Backoff repairBackoff = new Backoff();
    private boolean badLineLogged;

    /** With {@code asked} the module says when to call; otherwise the watch opens itself again. */
    DiscoveryClient(
            EventLoop loop,
            Transport transport,
            InetSocketAddress address,
            boolean asked,
            long version,
            BalancerRuntime driver) {
        this.loop = loop;
        this.transport = transport;
        this.address = address;
        this.asked = asked;
        this.version = version;
        this.driver = driver;
    }

    /** Begins to follow changes, anew if it does so already, or ends that. */
    void watch(boolean on) {
        wanted = on;
        Call old = watch;
        watch = null;
        if (old != null) {
            old.superseded = true;
            old.channel.close();
        }
        if (on) {
            watch = call(LIST + "?follow=1&since=" + version);
        }
    }

    /** Discovery is elsewhere from now on; a watch goes on there from the version known. */
    void move(InetSocketAddress to) {
        address = to;
        if (wanted) {
            watch(true);
        }
    }

    /** Gets the whole list once. */
    void fetch() {
        call(LIST);
    }

    private Call call(String uri) {
        Call call = new Call();
        ChannelFuture connecting =
                transport
                        .client(loop)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpClientCodec(),
                                                        new ReadTimeoutHandler(
                                                                SILENCE_MS, TimeUnit.MILLISECONDS),
                                                        new Body(),
                                                        new LineBasedFrameDecoder(MAX_LINE),
                                                        call);
                                    }
                                })
                        .connect(transport.address(address));
        call.channel = connecting.channel();
        connecting.addListener(
                f -> {
                    if (f.isSuccess()) {
                        DefaultFullHttpRequest request =
                                new DefaultFullHttpRequest(
                                        HttpVersion.HTTP_1_1,
                                        HttpMethod.GET,
                                        uri,
                                        Unpooled.EMPTY_BUFFER);
                        request.headers().set(HttpHeaderNames.HOST, address.getHostString());
                        call.channel.writeAndFlush(request);
                    }
                });
        call.channel.closeFuture().addListener(f -> ended(call));
        return call;
    }

    private void ended(Call call) {
        boolean watching = call == watch;
        if (watching) {
            watch = null;
        }
        if (call == repair) {
            repair = null;
            repairSoon();
            return;
        }
        if (call.superseded) {
            return; // Another one has taken its place, and goes on from what this one told.
        }
        if (asked) {
            if (watching || !call.told) {
                loop.execute(driver::listUnavailable);
            }
        } else if (watching && wanted) {
            loop.schedule(
                    () -> {
                        if (wanted && watch == null) {
                            watch(true);
                        }
                    },
                    watchBackoff.next(),
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Gets the whole list, again and again after growing pauses, until one has come. */
    private void repairSoon() {
        if (!incomplete || repair != null) {
            return;
        }
        loop.schedule(
                () -> {
                    if (incomplete && repair == null) {
                        repair = call(LIST);
                    }
                },
                repairBackoff.next(),
                TimeUnit.MILLISECONDS);
    }

    /** The body of a 200 answer as bytes; its end counts as the end of a line. */
    private static final class Body extends MessageToMessageDecoder<HttpObject> {
        Body() {
            super(HttpObject.class);
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, HttpObject part, List<Object> out) {
            if (part instanceof HttpResponse response && response.status().code() != 200
                    || part.decoderResult().isFailure()) {
                ctx.close();
                return;
            }
            if (part instanceof HttpContent content && ctx.channel().isActive()) {
                out.add(content.content().retain());
                if (part instanceof LastHttpContent) {
                    out.add(Unpooled.wrappedBuffer(new byte[] {'\n'}));
                    ctx.executor().execute(ctx::close);
                }
            }
        }
    }

    /** One call: each line that is not empty is a list, or a part of one that comes indented. */
    private final class Call extends SimpleChannelInboundHandler<ByteBuf> {
        private final JsonObjectAssembler lines =
                new JsonObjectAssembler(MAX_LINE, () -> broken("a list that was not closed"));
        private Channel channel;
        private boolean told;
        private boolean superseded;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            watchBackoff.reset();
            byte[] whole = lines.add(ByteBufUtil.getBytes(line));
            if (whole != null && whole.length > 0) {
                line(whole);
            }
        }

        private void line(byte[] bytes) {
            EndpointList list;
            try (JsonParser json = BalancerConfig.JSON.createParser(bytes)) {
                if (json.nextToken() != JsonToken.START_OBJECT) {
                    throw new BadInput("not a JSON object");
                }
                list = EndpointList.read(json);
            } catch (BadInput e) {
                broken(e.what());
                return;
            } catch (IOException e) {
                broken(e.getMessage());
                return;
            }
            if (this == repair && list.version() < version) {
                return; // The watch has told more meanwhile: the next one has that too.
            }
            told = true;
            version = list.version();
            if (list.full()) {
                incomplete = false;
                repairBackoff.reset();
            }
            // Not before all is read that has come: clients that have left get nothing sent for
            // them.
            loop.execute(
                    () -> driver.list(list.full() ? ListKind.COMPLETE : ListKind.CHANGES, list));
        }

        /**
         * What a broken line held is known again with a whole list, which is asked for beside the
         * watch.
         */
        private void broken(String why) {
            incomplete = true;
            repairSoon();
            if (!badLineLogged) {
                badLineLogged = true;
                LOG.log(System.Logger.Level.WARNING, new BadList(address, why).getMessage());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException || cause instanceof ReadTimeoutException)) {
                LOG.log(
                        System.Logger.Level.ERROR,
                        "closed a call to discovery after a failure",
                        cause);
            }
            ctx.close();
        }
    }
}
