package myrtleladder.loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import myrtleladder.loadbalancer.server.RawSockets.Client;
import myrtleladder.loadbalancer.server.RawSockets.Server;
import org.junit.jupiter.api.Test;

/** Recovery of changes in a malformed line, and concurrent calls to discovery. */
class DiscoveryRepairTest extends LoadBalancerFixture {
    private static final long ASK_AGAIN_MS = 2_000;

    private static boolean follows(RawSockets.Message m) {
        return m.start().contains("follow=1");
    }

    /**
     * Guards against missing the changes in a malformed line until the next full list, possibly
     * forever.
     */
    @Test
    void malformedListIsFollowedByAFetchOfTheFullListAndTheWatchGoesOn() throws Exception {
        Server missed = server(SERVE);
        Server later = server(SERVE);
        AtomicInteger whole = new AtomicInteger();
        Server discovery =
                server(
                        (m, s) -> {
                            if (follows(m)) {
                                RawSockets.startChunkedResponse(s);
                                RawSockets.sendChunk(
                                        s,
                                        "{\"version\":42,\"full\":false,\"servers\":[{\"id\":\"spo");
                                RawSockets.sendChunk(s, "");
                            } else if (whole.getAndIncrement() == 0) {
                                RawSockets.reset(
                                        s); // the first call fails, and so there is another
                            } else {
                                String list =
                                        listJson(
                                                42,
                                                true,
                                                endpointJson("missed", missed.address(), "Ready"));
                                RawSockets.respond(s, "200 OK", "", list);
                            }
                        });
        start(listJson(41, true), discovery);
        awaitRequestAt(missed);
        assertEquals(2, whole.get());
        RawSockets.sendChunk(
                discovery.accepted.get(0),
                listJson(43, true, endpointJson("later", later.address(), "Ready")));
        awaitRequestAt(later);
    }

    /** A full list older than the watch's last change would revert that change. */
    @Test
    void fullListOlderThanTheWatchIsIgnored() throws Exception {
        Server old = server(SERVE);
        Server current = server(SERVE);
        AtomicInteger whole = new AtomicInteger();
        CountDownLatch taken = new CountDownLatch(1);
        Server discovery =
                server(
                        (m, s) -> {
                            if (follows(m)) {
                                RawSockets.startChunkedResponse(s);
                                RawSockets.sendChunk(s, "{broken");
                                RawSockets.sendChunk(
                                        s,
                                        listJson(
                                                50,
                                                false,
                                                endpointJson(
                                                        "current", current.address(), "Ready")));
                            } else if (whole.getAndIncrement() == 0) {
                                RawSockets.respond(
                                        s,
                                        "200 OK",
                                        "",
                                        listJson(
                                                49,
                                                true,
                                                endpointJson("old", old.address(), "Ready")));
                            } else {
                                RawSockets.respond(
                                        s,
                                        "200 OK",
                                        "",
                                        listJson(
                                                50,
                                                true,
                                                endpointJson(
                                                        "current", current.address(), "Ready")));
                                taken.countDown();
                            }
                        });
        start(listJson(41, true), discovery);
        taken.await(RawSockets.TIMEOUT_S, TimeUnit.SECONDS);
        awaitRequestAt(current);
        assertEquals(0, old.requests.size());
    }

    /**
     * Guards against reporting a superseded call as failed after a change of the address, which
     * ended the new call too.
     */
    @Test
    void callSupersededByANewAddressIsNotReportedAsFailed() throws Exception {
        configFile.discoveryMode("on_request");
        Server upstream = server(SERVE);
        Server before = server((m, s) -> RawSockets.startChunkedResponse(s));
        Server after =
                server(
                        (m, s) -> {
                            RawSockets.startChunkedResponse(s);
                            RawSockets.sendChunk(
                                    s,
                                    listJson(
                                            42,
                                            true,
                                            endpointJson("now", upstream.address(), "Ready")));
                        });
        start(listJson(41, true), before);
        RawSockets.next(before.requests);
        balancer.reload(config(listJson(41, true), after));
        awaitRequestAt(upstream);
        // Longer than the first backoff delay after a failed call; there is no event that shows the
        // absence of a retry.
        assertNull(after.ended.poll(ASK_AGAIN_MS, TimeUnit.MILLISECONDS), "the new watch ended");
        Client client = client();
        assertEquals(200, client.write(submit()).read().status());
        assertEquals(1, after.accepted.size());
    }
}
