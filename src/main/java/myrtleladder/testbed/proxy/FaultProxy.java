package myrtleladder.testbed.proxy;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import myrtleladder.testbed.fault.Fault;
import myrtleladder.testbed.fault.LinkFault;
import myrtleladder.testbed.fault.LinkFaults;

/**
 * Carries what processes send to each other, and brings link faults about on the way. A process is
 * given an address of the relay in place of its peer's, one for each pair, and so the relay knows
 * who sends to whom.
 *
 * <p>All of it lives on one event loop, which owns the links. Faults of processes are not its
 * affair.
 */
public final class FaultProxy implements AutoCloseable {
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final LinkFaults links;
    private final List<StreamProxy> streams = new ArrayList<>();
    private final List<DatagramProxy> datagrams = new ArrayList<>();

    /** A relay whose links behave as {@code usual} until a fault is put on them. */
    public FaultProxy(long seed, LinkFault usual) {
        this.links = new LinkFaults(seed, usual);
    }

    /**
     * Opens a way over TCP from one process to the address of another; returns where to connect
     * instead.
     */
    public InetSocketAddress stream(String from, String to, InetSocketAddress target) {
        StreamProxy link = new StreamProxy(loop, links, from, to, target);
        loop.submit(() -> streams.add(link)).syncUninterruptibly();
        return link.bind();
    }

    /**
     * Opens a way over UDP from one process to the address of another; returns where to send
     * instead. What the other sends back to where it heard from goes to the first by the opposite
     * direction of the link.
     */
    public InetSocketAddress datagrams(String from, String to, InetSocketAddress target) {
        DatagramProxy link = new DatagramProxy(loop, links, from, to, target);
        loop.submit(() -> datagrams.add(link)).syncUninterruptibly();
        return link.bind();
    }

    /** Brings about a fault of links; it is in force when this returns. */
    public void bring(Fault fault) {
        loop.submit(
                        () -> {
                            if (fault instanceof Fault.Link f) {
                                links.set(f.from(), f.to(), f.fault());
                                between(f.from(), f.to()).forEach(StreamProxy::go);
                            } else if (fault instanceof Fault.Heal f) {
                                links.heal(f.from(), f.to());
                                between(f.from(), f.to()).forEach(StreamProxy::go);
                            } else if (fault instanceof Fault.HealAll) {
                                links.healAll();
                                streams.forEach(StreamProxy::go);
                            } else if (fault instanceof Fault.Reset f) {
                                between(f.one(), f.other()).forEach(StreamProxy::reset);
                            } else {
                                throw new IllegalArgumentException(
                                        "not a fault of a link: " + fault);
                            }
                        })
                .syncUninterruptibly();
    }

    private List<StreamProxy> between(String one, String other) {
        return streams.stream().filter(s -> s.between(one, other)).toList();
    }

    /** Ends all links; what is on its way is gone. */
    @Override
    public void close() {
        loop.submit(
                        () -> {
                            streams.forEach(StreamProxy::close);
                            datagrams.forEach(DatagramProxy::close);
                        })
                .syncUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
