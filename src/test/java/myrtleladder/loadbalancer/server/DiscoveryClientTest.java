package myrtleladder.loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import myrtleladder.error.OperatorError.InvalidEndpointList;
import myrtleladder.loadbalancer.policy.LogCapture;
import myrtleladder.loadbalancer.server.RawSockets.Client;
import myrtleladder.loadbalancer.server.RawSockets.Message;
import myrtleladder.loadbalancer.server.RawSockets.Server;
import org.junit.jupiter.api.Test;

/** Endpoint lists from discovery: watches, changes and health. */
class DiscoveryClientTest extends LoadBalancerFixture {
    private static boolean isWatch(Message m) {
        return m.start().startsWith("GET /v1/servers?follow=1&since=");
    }

    @Test
    void drainingAndGoneUpstreamsGetNoNewRequests() throws Exception {
        Server old = server(SERVE);
        Server other = server(SERVE);
        Server discovery =
                server(
                        (m, s) -> {
                            RawSockets.startChunkedResponse(s);
                            RawSockets.sendChunk(s, "");
                            RawSockets.sendChunk(s, "{broken");
                            RawSockets.sendChunk(
                                    s,
                                    listJson(
                                            42,
                                            false,
                                            endpointJson(
                                                    "s-" + old.address(),
                                                    old.address(),
                                                    "Terminating"),
                                            endpointJson("new", other.address(), "Ready")));
                        });
        try (LogCapture lines = new LogCapture(DiscoveryClient.class)) {
            start(readyListJson(old), discovery);
            assertTrue(RawSockets.next(discovery.requests).start().contains("since=41"));
            awaitRequestAt(other);
            String said = lines.next();
            assertTrue(
                    said.startsWith(InvalidEndpointList.CODE)
                            && said.contains(discovery.address())
                            && said.contains(InvalidEndpointList.REMEDY),
                    said);
        }
        int before = old.requests.size();
        for (int i = 0; i < 5; i++) {
            assertEquals(200, client().write(submit()).read().status());
        }
        assertEquals(before, old.requests.size());
        // a full list without the id removes it; the remaining id has a new address
        Server moved = server(SERVE);
        RawSockets.sendChunk(
                discovery.accepted.get(0),
                listJson(43, true, endpointJson("new", moved.address(), "Ready")));
        awaitRequestAt(moved);
        before = other.requests.size();
        assertEquals(200, client().write(submit()).read().status());
        assertEquals(before, other.requests.size());
    }

    /** A list may be indented; a heartbeat or a new object discards an unclosed one. */
    @Test
    void indentedListsAreRead() throws Exception {
        Server one = server(SERVE);
        Server two = server(SERVE);
        Server three = server(SERVE);
        Server discovery =
                server(
                        (m, s) -> {
                            RawSockets.startChunkedResponse(s);
                            RawSockets.sendChunk(
                                    s,
                                    "{\n"
                                            + "  \"version\": 42, \"full\": true,\n"
                                            + "  \"note\": \"}]{\\\"\",\n"
                                            + "  \"servers\": [\n"
                                            + "    "
                                            + endpointJson("one", one.address(), "Ready")
                                                    .replace(",", ",\n      ")
                                            + "\n  ]\n}");
                        });
        start(readyListJson(server(SERVE)), discovery);
        awaitRequestAt(one);
        Socket watch = discovery.accepted.get(0);
        RawSockets.sendChunk(watch, "{\"version\":43,\"full\":true,\"servers\":[");
        RawSockets.sendChunk(watch, "");
        RawSockets.sendChunk(
                watch, listJson(44, true, endpointJson("two", two.address(), "Ready")));
        awaitRequestAt(two);
        RawSockets.sendChunk(
                watch,
                "{\"version\":45,\"full\":true,\"servers\":[\n      "
                        + endpointJson("three", three.address(), "Ready")
                        + "]}");
        awaitRequestAt(three);
    }

    /**
     * A watch without lines may be partitioned, and its changes would be missed for longer than the
     * drain grace period.
     */
    @Test
    void timedOutWatchAndEndedWatchAreReopenedFromTheVersionKnown() throws Exception {
        AtomicInteger count = new AtomicInteger();
        Server upstream = server(SERVE);
        Server discovery =
                server(
                        (m, s) -> {
                            assertTrue(isWatch(m));
                            RawSockets.startChunkedResponse(s);
                            int n = count.getAndIncrement();
                            if (n == 0) {
                                RawSockets.sendChunk(s, listJson(50, false));
                                s.close();
                            } else if (n == 1) {
                                RawSockets.sendChunk(s, listJson(51, false));
                                s.getOutputStream()
                                        .write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                            } else if (n == 2) {
                                RawSockets.sendChunk(s, listJson(52, false)); // and not a word more
                            }
                        });
        start(readyListJson(upstream), discovery);
        List<String> calls = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            calls.add(RawSockets.next(discovery.requests).start());
        }
        assertEquals(
                List.of("41", "50", "51", "52"),
                calls.stream()
                        .map(c -> c.replaceAll(".*since=(\\d+) .*", "$1"))
                        .collect(Collectors.toList()));
    }

    /**
     * Connections to the process before the restart are dead, even if their close was not detected.
     */
    @Test
    void restartedUpstreamGetsNewConnections() throws Exception {
        Server upstream = server(SERVE);
        CountDownLatch restart = new CountDownLatch(1);
        Server discovery =
                server(
                        (m, s) -> {
                            restart.await();
                            RawSockets.startChunkedResponse(s);
                            RawSockets.sendChunk(
                                    s,
                                    listJson(
                                            42,
                                            false,
                                            endpointJson(
                                                            "s-" + upstream.address(),
                                                            upstream.address(),
                                                            "Ready")
                                                    .replace(
                                                            "\"started_ms\":0",
                                                            "\"started_ms\":1764000000000")));
                        });
        start(readyListJson(upstream), discovery);
        Client client = client();
        assertEquals(200, client.write(submit()).read().status());
        restart.countDown();
        assertEquals(0, RawSockets.next(upstream.ended));
        assertEquals(200, client.write(submit()).read().status());
        assertEquals(2, upstream.accepted.size());
    }

    @Test
    void balancerIsHealthyOnlyOnceTheListIsKnown() throws Exception {
        CountDownLatch tell = new CountDownLatch(1);
        Server upstream = server(SERVE);
        Server discovery =
                server(
                        (m, s) -> {
                            tell.await();
                            RawSockets.startChunkedResponse(s);
                            RawSockets.sendChunk(s, readyListJson(upstream));
                        });
        start(listJson(0, true), discovery);
        String health = "GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n";
        Client client = client();
        assertEquals(503, client.write(health).read().status());
        tell.countDown();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(RawSockets.TIMEOUT_S);
        while (client.write(health).read().status() != 200) {
            assertTrue(System.nanoTime() < end, "never ready");
        }
        assertEquals(200, client.write(submit()).read().status());
    }
}
