package myrtleladder.loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonParser;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import myrtleladder.loadbalancer.policy.CapacityMeasurements;
import myrtleladder.loadbalancer.server.RawSockets.Client;
import myrtleladder.loadbalancer.server.RawSockets.Server;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Cost of the data path and of endpoint lists for one balancer, at four sizes each. */
@Tag("long")
class LoadBalancerCapacityTest extends LoadBalancerFixture {
    private static final int[] ENTRIES = {100, 400, 1_600, 6_300};
    private static final int[] CONNECTIONS = {100, 200, 400, 700};
    private static final int[] REQUESTS = {1_000, 2_000, 4_000, 8_000};
    private static final int WARM_UP = 10_000;
    private static final int READS = 40;

    private static String listJson(int entries) {
        return listJson(
                1,
                true,
                IntStream.range(0, entries)
                        .mapToObj(
                                i ->
                                        endpointJson(
                                                "s-" + Integer.toHexString(0x5be2a07c + i),
                                                "10.1.0.18:8080",
                                                "Ready"))
                        .toArray(String[]::new));
    }

    @Test
    void lists() throws Exception {
        CapacityMeasurements bytes =
                new CapacityMeasurements("discovery, bytes of a whole list", "KB");
        CapacityMeasurements time =
                new CapacityMeasurements("discovery, reading a whole list", "us");
        CapacityMeasurements heap = new CapacityMeasurements("discovery, heap of a list", "KB");
        for (int entries : ENTRIES) {
            byte[] line = listJson(entries).getBytes(StandardCharsets.UTF_8);
            bytes.add(entries, line.length / 1_024.0);
            for (int i = 0; i < READS; i++) {
                read(line);
            }
            long begun = System.nanoTime();
            for (int i = 0; i < READS; i++) {
                read(line);
            }
            time.add(entries, (System.nanoTime() - begun) / 1e3 / READS);
            heap.add(entries, CapacityMeasurements.retainedHeapBytes(() -> read(line)) / 1_024.0);
        }
        bytes.print();
        time.print();
        heap.print();
        assertTrue(heap.slope() < 2, "KB of heap for each entry: " + heap.slope());
    }

    private static EndpointList read(byte[] line) {
        try (JsonParser json = BalancerConfig.JSON.createParser(line)) {
            json.nextToken();
            return EndpointList.read(json);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    private long loopCpu() throws Exception {
        long id = eventLoops.next().submit(() -> Thread.currentThread().getId()).get();
        return ManagementFactory.getThreadMXBean().getThreadCpuTime(id);
    }

    @Test
    void requests() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        Client client = client();
        serve(client, WARM_UP);
        CapacityMeasurements time =
                new CapacityMeasurements("data path, processor time of requests one by one", "ms");
        for (int requests : REQUESTS) {
            long before = loopCpu();
            serve(client, requests);
            time.add(requests, (loopCpu() - before) / 1e6);
        }
        time.print();
        assertTrue(time.slope() < 1, "ms for each request: " + time.slope());
    }

    private void serve(Client client, int requests) throws Exception {
        for (int i = 0; i < requests; i++) {
            assertEquals(200, client.write(submit()).read().status());
        }
    }

    @Test
    void connections() throws Exception {
        Server upstream = server(SERVE);
        configFile.sockets(2_000);
        start(upstream);
        CapacityMeasurements heap =
                new CapacityMeasurements("data path, heap of idle clients (both ends)", "KB");
        List<Client> clients = new ArrayList<>();
        for (int connections : CONNECTIONS) {
            long held =
                    CapacityMeasurements.retainedHeapBytes(
                            () -> {
                                try {
                                    while (clients.size() < connections) {
                                        clients.add(client());
                                        serve(clients.get(clients.size() - 1), 1);
                                    }
                                } catch (Exception e) {
                                    throw new AssertionError(e);
                                }
                                return clients;
                            });
            heap.add(connections, held / 1_024.0 + total);
            total += held / 1_024.0;
        }
        heap.print();
        assertTrue(heap.slope() < 100, "KB for each connection: " + heap.slope());
    }

    private double total;
}
