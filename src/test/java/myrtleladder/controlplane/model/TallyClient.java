package myrtleladder.controlplane.model;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * An application that adds to tallies and reads them at random nodes. It retries unacknowledged
 * additions at other nodes, sometimes sends an addition to two nodes at once, and sometimes repeats
 * an earlier one.
 */
final class TallyClient {
    static final List<String> TALLIES = List.of("t1", "t2");

    private static final int PAUSE_MS = 60;
    private static final int MAX_ATTEMPTS = 3;
    private static final int ROUND_TRIP_MS = 20;
    private static final long MERGE_MS = 3_000;
    private static final int MAX_AMOUNT = 9;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int CONNECTION_REFUSED = 0;
    private static final int OK = 200;
    private static final byte[] NO_BODY = {};

    private final SimulatedCluster cluster;
    private final TallyHistory history;
    private final ExternalClient client;
    private final String name;
    private int sentCount;
    private int acknowledgedCount;
    private boolean isStopped;

    TallyClient(SimulatedCluster cluster, TallyHistory history, String name) {
        this.cluster = cluster;
        this.history = history;
        this.name = name;
        this.client = new ExternalClient(cluster, name);
    }

    /** Adds and reads repeatedly from now on. */
    void start() {
        if (isStopped) {
            return;
        }
        cluster.clock.schedule(PAUSE_MS + cluster.random.nextInt(PAUSE_MS), this::start);
        String tally = TALLIES.get(cluster.random.nextInt(TALLIES.size()));
        read(client.anyNode(), tally);
        boolean isRepeated = sentCount > 0 && cluster.random.nextInt(5) == 0;
        int number = isRepeated ? cluster.random.nextInt(sentCount) : sentCount++;
        addAnywhere(number, MAX_ATTEMPTS);
        if (cluster.random.nextInt(5) == 0) {
            addAnywhere(number, MAX_ATTEMPTS);
        }
    }

    void stop() {
        isStopped = true;
    }

    int acknowledgedCount() {
        return acknowledgedCount;
    }

    private void addAnywhere(int number, int attemptsLeft) {
        if (attemptsLeft > 0) {
            String tally = TALLIES.get(number % TALLIES.size());
            add(
                    client.anyNode(),
                    tally,
                    name + number,
                    1 + number % MAX_AMOUNT,
                    status -> {
                        if (status != OK) {
                            addAnywhere(number, attemptsLeft - 1);
                        }
                    });
        }
    }

    /** Adds at a node; {@code done} gets the status of the response, 0 if there was none. */
    void add(SimulatedNode node, String tally, String id, long amount, Consumer<Integer> done) {
        history.recordSent(tally, id, amount);
        String process = processName(node);
        String body = "{\"id\":\"%s\",\"owner\":%d}".formatted(id, amount);
        client.call(
                node,
                "POST",
                "/tallies/" + tally,
                ExternalClient.NO_IF_MATCH,
                body.getBytes(StandardCharsets.UTF_8),
                response -> {
                    record(id, response, process.equals(processName(node)) ? process : "");
                    done.accept(response == null ? 0 : response.status());
                });
    }

    private void record(String id, SimulatedResponse response, String process) {
        if (response != null && response.status() == OK) {
            acknowledgedCount++;
            history.recordAcknowledged(id, process);
        } else if (response != null
                && (response.status() == SERVICE_UNAVAILABLE
                        || response.status() == CONNECTION_REFUSED)) {
            history.recordRefused(id);
        } else {
            history.recordUncertain(id);
        }
    }

    private void read(SimulatedNode node, String tally) {
        String process = processName(node);
        long minimum = history.acknowledgedBy(process, tally);
        get(
                node,
                tally,
                total -> {
                    if (process.equals(processName(node))) {
                        history.checkRead(tally, total, minimum, "read at " + process);
                    }
                });
    }

    /** Reads at a node; {@code done} is not called if it does not serve. */
    void get(SimulatedNode node, String tally, Consumer<Long> done) {
        client.call(
                node,
                "GET",
                "/tallies/" + tally,
                ExternalClient.NO_IF_MATCH,
                NO_BODY,
                response -> {
                    if (response != null && response.status() == OK) {
                        String text = new String(response.body(), StandardCharsets.UTF_8);
                        done.accept(Long.parseLong(text.replaceAll("\\D", "")));
                    }
                });
    }

    /** The name of the process that runs on a node. */
    static String processName(SimulatedNode node) {
        return node.address + "/" + node.startCount();
    }

    /** Checks that after the merge time all nodes have everything acknowledged before it. */
    void checkMerged(String situation) {
        Map<String, Long> minimumTotals = new HashMap<>();
        TALLIES.forEach(tally -> minimumTotals.put(tally, history.acknowledged(tally)));
        cluster.clock.run(MERGE_MS);
        for (SimulatedNode node : cluster.nodes()) {
            for (String tally : TALLIES) {
                String reader = situation + " at " + processName(node);
                history.checkRead(tally, readNow(node, tally), minimumTotals.get(tally), reader);
            }
        }
    }

    /** Reads and waits for the response; -1 if the node does not serve. */
    long readNow(SimulatedNode node, String tally) {
        long[] total = {-1};
        get(node, tally, t -> total[0] = t);
        for (int i = 0; i < ROUND_TRIP_MS && total[0] < 0; i++) {
            cluster.clock.run(1);
        }
        return total[0];
    }
}
