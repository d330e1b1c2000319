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
 * Follows the endpoint list of discovery, by a long-lived watch that starts at the last known
 * version and by fetching the full list on request. After a line that could not be parsed, it also
 * fetches the full list, with retries until one arrives.
 *
 * <p>Confined to the event loop.
 */
final class DiscoveryClient implements DiscoveryCall.Listener {
    private static final System.Logger LOG = System.getLogger(DiscoveryClient.class.getName());
    private static final String LIST_PATH = "/v1/servers";

    /**
     * Discovery sends a line every 2 s on a watch. Without one for longer than that, the connection
     * may be partitioned and changes missed.
     */
    private static final long READ_TIMEOUT_MS = 3_000;

    /** Connect timeout, in milliseconds. */
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final EventLoop loop;
    private final Transport transport;
    private final boolean isControlledByModule;
    private final BalancerRuntime balancer;
    private final Backoff watchBackoff = new Backoff();
    private final Backoff repairBackoff = new Backoff();
    private InetSocketAddress address;

    /** Version of the last list or change that was applied. */
    private long version;

    private boolean shouldWatch;

    /** The open watch, or null. */
    private DiscoveryCall watch;

    /** The call that fetches the full list after a malformed one, or null. */
    private DiscoveryCall repair;

    /**
     * Whether a list could not be parsed, so that changes may be missing until the next full list.
     */
    private boolean isIncomplete;

    private boolean isMalformedListLogged;

    /**
     * Creates a client that makes no call yet.
     *
     * @param isControlledByModule whether the decision module controls the calls; otherwise this
     *     client reopens a watch that has ended
     * @param version version of the configured endpoint list
     */
    DiscoveryClient(
            EventLoop loop,
            Transport transport,
            InetSocketAddress address,
            boolean isControlledByModule,
            long version,
            BalancerRuntime balancer) {
        this.loop = loop;
        this.transport = transport;
        this.address = address;
        this.isControlledByModule = isControlledByModule;
        this.version = version;
        this.balancer = balancer;
    }

    /** Starts the watch, replacing an open one, or stops it. */
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

    /** Changes the address of discovery; reopens the watch there. */
    void setAddress(InetSocketAddress newAddress) {
        address = newAddress;
        if (shouldWatch) {
            watch(true);
        }
    }

    /** Fetches the full list once, without retries. */
    void fetchFullList() {
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
            return; // The call that replaced it continues from the same version.
        }
        if (isControlledByModule) {
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

    /** Schedules a fetch of the full list, with backoff, if changes may be missing. */
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
            return; // The watch has applied later changes; the next full list includes them.
        }
        call.listAccepted();
        version = list.version();
        if (list.isFull()) {
            isIncomplete = false;
            repairBackoff.reset();
        }
        // Applied after all pending reads: the list may release a queued request, which must not be
        // sent if its client has disconnected.
        EndpointListKind kind =
                list.isFull() ? EndpointListKind.COMPLETE : EndpointListKind.CHANGES;
        loop.execute(() -> balancer.endpointsListed(kind, list));
    }

    /** Fetches the full list, in parallel with the watch, to recover the changes that were lost. */
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
