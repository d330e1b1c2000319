package myrtleladder.cluster;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import myrtleladder.gossip.MemberEvent;
import myrtleladder.gossip.MemberUpdate;
import myrtleladder.gossip.Membership;

/**
 * A process's membership over UDP, on the event loop of the balancer: a loop that can't keep up
 * with its requests is late here as well, and the others see what clients see. What comes beyond a
 * rate is dropped unread, so that a flood costs no more than that.
 */
public final class MembershipRuntime implements Membership.Output {
    private static final System.Logger LOG = System.getLogger(MembershipRuntime.class.getName());

    /**
     * Datagrams that are read in each tenth of a second; a member of a fleet of 5,000 gets some
     * ten.
     */
    private static final int READ_AT_MOST = 200;

    private static final long TENTH_NANOS = 100_000_000;

    private final EventLoop loop;
    private final FleetConfiguration config;
    private final Membership membership;
    private final long origin = System.nanoTime();
    private Channel channel;

    /** What is built upon the picture; null if nothing is. */
    private ConsensusRuntime guest;

    private long tenth;
    private int read;
    private long dropped;

    private MembershipRuntime(EventLoop loop, FleetConfiguration config) {
        this.loop = loop;
        this.config = config;
        SecureRandom random = new SecureRandom();
        this.membership =
                new Membership(
                        config.settings(),
                        config.name(),
                        random.nextLong(),
                        0,
                        NetUtil.toSocketAddressString(config.listen()),
                        config.meta(),
                        config.seeds(),
                        random.nextLong(),
                        this);
    }

    /** Takes part from now on, and says at SIGTERM that it goes. */
    public static MembershipRuntime start(EventLoop loop, FleetConfiguration config) {
        MembershipRuntime carrier = new MembershipRuntime(loop, config);
        carrier.channel =
                new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        .handler(carrier.new Ear())
                        .bind(config.listen())
                        .syncUninterruptibly()
                        .channel();
        loop.submit(() -> carrier.membership.start(carrier.now())).syncUninterruptibly();
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () ->
                                        loop.submit(() -> carrier.membership.leave(carrier.now()))
                                                .awaitUninterruptibly()));
        return carrier;
    }

    /** What it holds, as of soon. */
    public Future<MembershipStatus> look() {
        return loop.submit(
                () -> {
                    long now = now();
                    List<MembershipStatus.ListedMember> members = new ArrayList<>();
                    membership
                            .members()
                            .forEach(
                                    c ->
                                            members.add(
                                                    new MembershipStatus.ListedMember(
                                                            c,
                                                            (now - membership.sinceUs(c.name()))
                                                                    / 1e6)));
                    Map<String, Long> refused = new LinkedHashMap<>(membership.droppedDatagrams());
                    if (dropped > 0) {
                        refused.put("flood", dropped);
                    }
                    return new MembershipStatus(
                            membership.self(),
                            membership.presentCount(),
                            membership.healthScore(),
                            membership.digest(),
                            refused,
                            members);
                });
    }

    /** The event loop that all of it lives on. */
    EventLoop loop() {
        return loop;
    }

    /** Has an agreement hear its datagrams and the changes of the picture; on the event loop. */
    void host(ConsensusRuntime agreement) {
        guest = agreement;
    }

    /** What this process says of itself. */
    MemberUpdate self() {
        return membership.self();
    }

    /** What is held of all members; on the event loop. */
    Collection<MemberUpdate> claims() {
        return membership.members();
    }

    /** Microseconds by a clock that never steps. */
    long now() {
        return (System.nanoTime() - origin) / 1_000;
    }

    @Override
    public void send(String address, byte[] datagram) {
        InetSocketAddress to = parse(config.via().getOrDefault(address, address));
        if (to != null) {
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), to));
        }
    }

    /** Numbers alone, since there is no DNS; an address that somebody told wrong is nobody's. */
    private static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        byte[] host =
                colon < 0
                        ? null
                        : NetUtil.createByteArrayFromIpAddressString(address.substring(0, colon));
        try {
            return host == null
                    ? null
                    : new InetSocketAddress(
                            InetAddress.getByAddress(host),
                            Integer.parseInt(address.substring(colon + 1)));
        } catch (UnknownHostException | IllegalArgumentException e) {
            return null;
        }
    }

    @Override
    public void scheduleTimer(String token, long delayUs) {
        loop.schedule(() -> membership.onTimer(now(), token), delayUs, TimeUnit.MICROSECONDS);
    }

    @Override
    public void onEvent(MemberEvent event) {
        if (guest != null) {
            guest.changed();
        }
        MemberUpdate c = event.update();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("member", c.name());
        fields.put("state", c.state());
        fields.put("incarnation", c.incarnation());
        fields.put("life", Long.toHexString(c.startId()));
        fields.put("address", c.address());
        fields.put("why", event.reason());
        LOG.log(
                System.Logger.Level.INFO,
                "member " + c.name() + " " + event.kind() + ": " + event.reason(),
                fields);
    }

    private final class Ear extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            long now = System.nanoTime();
            if (now - tenth > TENTH_NANOS) {
                tenth = now;
                read = 0;
            }
            if (++read > READ_AT_MOST) {
                dropped++;
                return;
            }
            byte[] datagram = ByteBufUtil.getBytes(packet.content());
            if (guest != null && guest.takes(datagram)) {
                guest.received(datagram);
            } else {
                membership.onDatagram(
                        now(), NetUtil.toSocketAddressString(packet.sender()), datagram);
            }
        }

        /** Whoever sends to a process that is down may be told so; that is no news here. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.log(System.Logger.Level.ERROR, "dropped a datagram after a failure", cause);
            }
        }
    }
}
