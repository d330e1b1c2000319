package myrtleladder.cluster;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.Future;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import myrtleladder.gossip.MemberEvent;
import myrtleladder.gossip.MemberUpdate;
import myrtleladder.gossip.Membership;

/**
 * Runs the membership of this process over UDP, on the event loop of the load balancer: a loop that
 * can't keep up with its requests is late here as well, so other members see what clients see.
 *
 * <p>{@link #start} and {@link #status} may be called by any thread; all other methods only on the
 * event loop.
 */
public final class MembershipRuntime implements Membership.Output {
    private static final System.Logger LOG = System.getLogger(MembershipRuntime.class.getName());

    /** A member of a fleet of 5,000 receives about ten in an interval. */
    private static final int MAX_DATAGRAMS_PER_INTERVAL = 200;

    /** A tenth of a second. */
    private static final long RECEIVE_INTERVAL_NANOS = 100_000_000;

    /** Reason under which operators see the datagrams that exceeded the rate. */
    private static final String RATE_EXCEEDED = "flood";

    private static final long NANOS_PER_MICRO = 1_000;
    private static final double MICROS_PER_SECOND = 1e6;

    private final EventLoop loop;
    private final FleetConfiguration configuration;
    private final Membership membership;
    private final ReceiveRateLimiter rateLimiter =
            new ReceiveRateLimiter(MAX_DATAGRAMS_PER_INTERVAL, RECEIVE_INTERVAL_NANOS);
    private final long originNanos = System.nanoTime();
    private Channel channel;

    /** Null as long as no consensus is attached. */
    private ConsensusRuntime consensus;

    private MembershipRuntime(EventLoop loop, FleetConfiguration configuration) {
        this.loop = loop;
        this.configuration = configuration;
        SecureRandom random = new SecureRandom();
        this.membership =
                new Membership(
                        configuration.settings(),
                        configuration.name(),
                        random.nextLong(),
                        0,
                        NetUtil.toSocketAddressString(configuration.listen()),
                        configuration.metadata(),
                        configuration.seeds(),
                        random.nextLong(),
                        this);
    }

    /** Joins the fleet; at the end of the process (SIGTERM) the fleet is told that it leaves. */
    public static MembershipRuntime start(EventLoop loop, FleetConfiguration configuration) {
        MembershipRuntime runtime = new MembershipRuntime(loop, configuration);
        runtime.channel =
                new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        .handler(new FleetDatagramHandler(runtime.rateLimiter, runtime::onDatagram))
                        .bind(configuration.listen())
                        .syncUninterruptibly()
                        .channel();
        loop.submit(() -> runtime.membership.start(runtime.nowUs())).syncUninterruptibly();
        Runtime.getRuntime().addShutdownHook(new Thread(runtime::leave));
        return runtime;
    }

    /** Tells the fleet; called by the hook at the end of the process. */
    void leave() {
        try {
            loop.submit(() -> membership.leave(nowUs())).awaitUninterruptibly();
        } catch (RejectedExecutionException e) {
            LOG.log(System.Logger.Level.DEBUG, "the loop has ended before: the fleet is not told");
        }
    }

    /** What this process knows of its fleet, read on the event loop. */
    public Future<MembershipStatus> status() {
        return loop.submit(this::currentStatus);
    }

    private MembershipStatus currentStatus() {
        long nowUs = nowUs();
        List<MembershipStatus.ListedMember> members = new ArrayList<>();
        for (MemberUpdate member : membership.members()) {
            long ageUs = nowUs - membership.sinceUs(member.name());
            members.add(new MembershipStatus.ListedMember(member, ageUs / MICROS_PER_SECOND));
        }
        return new MembershipStatus(
                membership.self(),
                membership.presentCount(),
                membership.healthScore(),
                membership.digest(),
                droppedDatagrams(),
                members);
    }

    private Map<String, Long> droppedDatagrams() {
        Map<String, Long> dropped = new LinkedHashMap<>(membership.droppedDatagrams());
        if (rateLimiter.droppedCount() > 0) {
            dropped.put(RATE_EXCEEDED, rateLimiter.droppedCount());
        }
        return dropped;
    }

    /** The event loop that all of it is confined to. */
    EventLoop loop() {
        return loop;
    }

    /** From now on a consensus gets its datagrams and the changes of the membership. */
    void attach(ConsensusRuntime attached) {
        consensus = attached;
    }

    /** What this process publishes about itself. */
    MemberUpdate self() {
        return membership.self();
    }

    /** The latest update on each member. */
    Collection<MemberUpdate> members() {
        return membership.members();
    }

    /** Microseconds of a clock that never steps. */
    long nowUs() {
        return (System.nanoTime() - originNanos) / NANOS_PER_MICRO;
    }

    private void onDatagram(String from, byte[] datagram) {
        if (consensus != null && consensus.accepts(datagram)) {
            consensus.onDatagram(datagram);
        } else {
            membership.onDatagram(nowUs(), from, datagram);
        }
    }

    /** Sends a datagram; one to an address that is none is dropped. */
    @Override
    public void send(String address, byte[] datagram) {
        String translated = configuration.addressTranslations().getOrDefault(address, address);
        InetSocketAddress recipient = parse(translated);
        if (recipient != null) {
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), recipient));
        }
    }

    /** Parses a numeric address and port, as no name is ever resolved; null if it is none. */
    private static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 0) {
            return null;
        }
        byte[] host = NetUtil.createByteArrayFromIpAddressString(address.substring(0, colon));
        if (host == null) {
            return null;
        }
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            return new InetSocketAddress(InetAddress.getByAddress(host), port);
        } catch (UnknownHostException | IllegalArgumentException e) {
            return null; // published by another process, so not an error of this one
        }
    }

    @Override
    public void scheduleTimer(String token, long delayUs) {
        loop.schedule(() -> membership.onTimer(nowUs(), token), delayUs, TimeUnit.MICROSECONDS);
    }

    /** Passes a change of the membership on and logs it. */
    @Override
    public void onEvent(MemberEvent event) {
        if (consensus != null) {
            consensus.onMembershipChanged();
        }
        MemberUpdate member = event.update();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("member", member.name());
        fields.put("state", member.state());
        fields.put("incarnation", member.incarnation());
        fields.put("life", Long.toHexString(member.startId()));
        fields.put("address", member.address());
        fields.put("why", event.reason());
        LOG.log(
                System.Logger.Level.INFO,
                "member " + member.name() + " " + event.kind() + ": " + event.reason(),
                fields);
    }
}
