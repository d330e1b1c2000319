package myrtleladder.loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import myrtleladder.loadbalancer.server.RawSockets.Client;
import myrtleladder.loadbalancer.server.RawSockets.Server;
import org.junit.jupiter.api.Test;

/** Each request is answered by its deadline, unless its client has left. */
class RequestDeadlineTest extends LoadBalancerFixture {
    private static final long STALL_MS = 600;

    @Test
    void unresponsiveUpstreamIsAnsweredForByTheDeadline() throws Exception {
        Server upstream = server(HANG);
        start(upstream);
        assertFailed(client().write(request("POST", "submit", "300", "")).read());
        assertEquals(0, RawSockets.next(upstream.ended), "the attempt is given up");
    }

    /**
     * The loop is stalled, as by a long garbage collection; what came meanwhile has less time left.
     */
    @Test
    void timeThatARequestWaitedUnreadCountsAgainstItsDeadline() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        Client client = client();
        assertEquals(200, client.write(submit()).read().status());
        RawSockets.next(upstream.requests);
        CountDownLatch stands = new CountDownLatch(1);
        CountDownLatch goesOn = new CountDownLatch(1);
        var loop = eventLoops.next();
        loop.execute(
                () -> {
                    stands.countDown();
                    for (long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STALL_MS);
                            System.nanoTime() < end || goesOn.getCount() > 0; ) {
                        Thread.onSpinWait();
                    }
                });
        stands.await();
        client.write(request("POST", "submit", "9000", ""));
        goesOn.countDown();
        assertEquals(200, client.read().status());
        long left =
                Long.parseLong(RawSockets.next(upstream.requests).headers().get("x-time-left-ms"));
        assertTrue(left < 9_000 - STALL_MS / 2, () -> "told that " + left + " ms are left");
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
