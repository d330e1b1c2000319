package myrtleladder.loadbalancer.server;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import myrtleladder.error.OperatorError.InvalidEndpointList;
import myrtleladder.loadbalancer.policy.EndpointListKind;

/**
 * Follows the endpoint list of discovery: by one watch that stays open and begins at the version
 * known, and by single full lists on request. A full list is also fetched, until one has come,
 * after a line that could not be parsed.
 *
 * <p>Confined to the event loop.
 */
final class DiscoveryClient implements DiscoveryCall.Listener {
    private static final System.Logger LOG = System.getLogger(DiscoveryClient.class.getName());
    private static final String LIST_PATH = "/v1/servers";

    /**
     * A watch sends a line every 2 s; one from which none comes for longer may be partitioned, and
     * its changes lost.
     */
    private static final long READ_TIMEOUT_MS = 3_000;

    /** Connect timeout, in milliseconds. */
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final EventLoop loop;
    private final Transport transport;
    private final boolean isOnRequest;
    private final BalancerRuntime balancer;
    private final Backoff watchBackoff = new Backoff();
    private final Backoff repairBackoff = new Backoff();
    private InetSocketAddress address;

    /** The version of the last list or change that was taken over. */
    private long version;

    private boolean shouldWatch;

    /** The watch that is open, or null. */
    private DiscoveryCall watch;

    /** The call for a full list after a malformed one, or null. */
    private DiscoveryCall repair;

    /**
     * A list could not be parsed, so that what is known may lack something until the next full
     * list.
     */
    private boolean isIncomplete;

    private boolean isMalformedListLogged;

    /**
     * Creates a client that makes no call yet.
     *
     * @param isOnRequest whether the decision module says when to call; otherwise an ended watch is
     *     opened again here
     * @param version of the list known before the start
     */
    DiscoveryClient(
            EventLoop loop,
            Transport transport,
            InetSocketAddress address,
            boolean isOnRequest,
            long version,
            BalancerRuntime balancer) {
        this.loop = loop;
        this.transport = transport;
        this.address = address;
        this.isOnRequest = isOnRequest;
        this.version = version;
        this.balancer = balancer;
    }

    /** Begins to follow changes, with a new call if there is one already; or stops that. */
    void watch(boolean isOn) {
        shouldWatch = isOn;
        DiscoveryCall previous = watch;
        watch = null;
        if (previous != null) {
            previous.supersede();
        }
        if (isOn) {
            watch = call(LIST_PATH + "?follow=1&since=" + version);
        }
    }

    /** Discovery is at another address from now on; the watch goes on there. */
    void moveTo(InetSocketAddress newAddress) {
        address = newAddress;
        if (shouldWatch) {
            watch(true);
        }
    }

    /** Fetches the full list once. */
    void fetch() {
        call(LIST_PATH);
    }

    private DiscoveryCall call(String uri) {
        DiscoveryCall call = new DiscoveryCall(this);
        ChannelFuture connecting =
                transport
                        .client(loop)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        initPipeline(channel, call);
                                    }
                                })
                        .connect(transport.address(address));
        call.setChannel(connecting.channel());
        connecting.addListener(
                future -> {
                    if (future.isSuccess()) {
                        call.channel().writeAndFlush(request(uri));
                    }
                });
        call.channel().closeFuture().addListener(future -> callEnded(call));
        return call;
    }

    private static void initPipeline(Channel channel, DiscoveryCall call) {
        channel.pipeline()
                .addLast(
                        new HttpClientCodec(),
                        new ReadTimeoutHandler(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS),
                        new HttpBodyDecoder(),
                        new LineBasedFrameDecoder(DiscoveryCall.MAX_LIST_BYTES),
                        call);
    }

    private DefaultFullHttpRequest request(String uri) {
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, uri, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, address.getHostString());
        return request;
    }

    private void callEnded(DiscoveryCall call) {
        boolean isWatch = call == watch;
        if (isWatch) {
            watch = null;
        }
        if (call == repair) {
            repair = null;
            scheduleRepair();
            return;
        }
        if (call.isSuperseded()) {
            return; // Another call has taken its place, and goes on from the same version.
        }
        if (isOnRequest) {
            if (isWatch || !call.hasAcceptedList()) {
                loop.execute(balancer::listUnavailable);
            }
        } else if (isWatch && shouldWatch) {
            loop.schedule(this::reopenWatch, watchBackoff.nextDelayMs(), TimeUnit.MILLISECONDS);
        }
    }

    private void reopenWatch() {
        if (shouldWatch && watch == null) {
            watch(true);
        }
    }

    /** Fetches the full list, again after growing delays, until one has come. */
    private void scheduleRepair() {
        if (!isIncomplete || repair != null) {
            return;
        }
        loop.schedule(
                () -> {
                    if (isIncomplete && repair == null) {
                        repair = call(LIST_PATH);
                    }
                },
                repairBackoff.nextDelayMs(),
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void lineReceived() {
        watchBackoff.reset();
    }

    @Override
    public void listReceived(DiscoveryCall call, EndpointList list) {
        if (call == repair && list.version() < version) {
            return; // The watch has sent later changes meanwhile: the next full list has these too.
        }
        call.listAccepted();
        version = list.version();
        if (list.isFull()) {
            isIncomplete = false;
            repairBackoff.reset();
        }
        // Not before all that has come is read: a request whose client has left is not to be sent
        // because of this list.
        EndpointListKind kind =
                list.isFull() ? EndpointListKind.COMPLETE : EndpointListKind.CHANGES;
        loop.execute(() -> balancer.endpointsListed(kind, list));
    }

    /** The changes in a malformed list are recovered by a full one, fetched beside the watch. */
    @Override
    public void malformedList(String reason) {
        isIncomplete = true;
        scheduleRepair();
        if (!isMalformedListLogged) {
            isMalformedListLogged = true;
            LOG.log(
                    System.Logger.Level.WARNING,
                    new InvalidEndpointList(address, reason).getMessage());
        }
    }
}
