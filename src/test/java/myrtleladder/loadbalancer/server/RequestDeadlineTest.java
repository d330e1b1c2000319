package myrtleladder.loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import myrtleladder.loadbalancer.server.RawSockets.Client;
import myrtleladder.loadbalancer.server.RawSockets.Server;
import org.junit.jupiter.api.Test;

/** Each request is answered by its deadline, unless its client has disconnected. */
class RequestDeadlineTest extends LoadBalancerFixture {
    private static final long STALL_MS = 600;

    /** The module's timers are due dozens of times a second. */
    private static final long TIMERS_FALL_DUE_MS = 200;

    @Test
    void unresponsiveUpstreamIsAnsweredForByTheDeadline() throws Exception {
        Server upstream = server(HANG);
        start(upstream);
        assertFailed(client().write(request("POST", "submit", "300", "")).read());
        assertEquals(0, RawSockets.next(upstream.ended), "the attempt is given up");
    }

    /**
     * The loop is stalled, as by a long garbage collection. Requests that arrive during the stall
     * have less time left.
     */
    @Test
    void timeThatARequestWaitedUnreadCountsAgainstItsDeadline() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        Client client = client();
        assertEquals(200, client.write(submit()).read().status());
        RawSockets.next(upstream.requests);
        assertStallCountsAgainstTheDeadline(upstream, client, eventLoops.next()::execute);
    }

    /** The same with timers queued after the stall, which fire before the next reads. */
    @Test
    void timeThatARequestWaitedUnreadCountsAlsoIfALateTimerFiresBeforeItIsRead() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        Client client = client();
        assertEquals(200, client.write(submit()).read().status());
        RawSockets.next(upstream.requests);
        assertStallCountsAgainstTheDeadline(upstream, client, this::executeBeforeDueTimers);
    }

    private void assertStallCountsAgainstTheDeadline(
            Server upstream, Client client, Consumer<Runnable> executeOnLoop) throws Exception {
        CountDownLatch stands = new CountDownLatch(1);
        CountDownLatch goesOn = new CountDownLatch(1);
        executeOnLoop.accept(
                () -> {
                    stands.countDown();
                    spin(STALL_MS);
                    await(goesOn);
                });
        stands.await();
        client.write(request("POST", "submit", "9000", ""));
        goesOn.countDown();
        assertEquals(200, client.read().status());
        long left =
                Long.parseLong(RawSockets.next(upstream.requests).headers().get("x-time-left-ms"));
        assertTrue(left < 9_000 - STALL_MS / 2, () -> "told that " + left + " ms are left");
    }

    /**
     * Queues a task during reads that take so long that timers become due. The same loop iteration
     * then runs the task, followed by these timers.
     */
    private void executeBeforeDueTimers(Runnable task) {
        EventLoop loop = eventLoops.next();
        CountDownLatch reading = new CountDownLatch(1);
        CountDownLatch queued = new CountDownLatch(1);
        Channel datagrams =
                new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        .handler(
                                new ChannelInboundHandlerAdapter() {
                                    @Override
                                    public void channelRead(
                                            ChannelHandlerContext context, Object datagram) {
                                        ReferenceCountUtil.release(datagram);
                                        reading.countDown();
                                        await(queued);
                                        spin(TIMERS_FALL_DUE_MS);
                                    }
                                })
                        .bind("127.0.0.1", 0)
                        .syncUninterruptibly()
                        .channel();
        closeables.add(datagrams::close);
        InetSocketAddress address = (InetSocketAddress) datagrams.localAddress();
        datagrams
                .writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(new byte[1]), address))
                .syncUninterruptibly();
        await(reading);
        loop.execute(task);
        queued.countDown();
    }

    private static void await(CountDownLatch latch) {
        while (latch.getCount() > 0) {
            Thread.onSpinWait();
        }
    }

    @Test
    void requestWithoutAnUpstreamIsRejectedByTheDeadline() throws Exception {
        start(new Server[0]);
        assertEquals(503, client().write(request("POST", "submit", "300", "")).read().status());
    }

    @Test
    void disconnectOfAClientEndsItsAttempt() throws Exception {
        Server upstream = server(HANG);
        start(upstream);
        Client client = client().write(submit());
        RawSockets.next(upstream.requests);
        client.close();
        assertEquals(0, RawSockets.next(upstream.ended));
    }
}
