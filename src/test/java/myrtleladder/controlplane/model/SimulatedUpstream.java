package myrtleladder.controlplane.model;

import java.nio.charset.StandardCharsets;

/**
 * An upstream that sends heartbeats for a while and leaves with an acknowledgement; then its next
 * incarnation starts.
 */
final class SimulatedUpstream {
    private static final long HEARTBEAT_INTERVAL_MS = 1_200;
    private static final long RETRY_MS = 100;
    private static final long MIN_LIFETIME_MS = 1_000;
    private static final int MAX_EXTRA_LIFETIME_MS = 3_000;

    /** One incarnation in so many leaves without draining first. */
    private static final int DEPARTURES_WITHOUT_DRAINING_EVERY = 3;

    private static final int OK = 200;
    private static final byte[] NO_BODY = {};

    private final SimulatedCluster cluster;
    private final String name;
    private final ExternalClient client;
    private int incarnation;
    private int sequence;
    private long leavesAtMs;
    private boolean isLeavingWithoutDraining;

    SimulatedUpstream(SimulatedCluster cluster, String name) {
        this.cluster = cluster;
        this.name = name;
        this.client = new ExternalClient(cluster, name);
    }

    /** Starts the next incarnation. */
    void start() {
        incarnation++;
        sequence = 0;
        leavesAtMs =
                cluster.clock.now()
                        + MIN_LIFETIME_MS
                        + cluster.random.nextInt(MAX_EXTRA_LIFETIME_MS);
        isLeavingWithoutDraining = cluster.random.nextInt(DEPARTURES_WITHOUT_DRAINING_EVERY) == 0;
        sendHeartbeat();
    }

    private String id() {
        return name + "-" + incarnation;
    }

    private boolean isLeaving() {
        return cluster.clock.now() >= leavesAtMs;
    }

    private void sendHeartbeat() {
        if (isLeaving()) {
            leave();
            return;
        }
        call("PUT", heartbeat("ready"), () -> {});
        cluster.clock.schedule(HEARTBEAT_INTERVAL_MS, this::sendHeartbeat);
    }

    private void leave() {
        if (isLeavingWithoutDraining) {
            sendDeparture();
        } else {
            call("PUT", heartbeat("draining"), this::draining);
        }
    }

    private void sendDeparture() {
        call("DELETE", NO_BODY, this::departed);
    }

    private byte[] heartbeat(String state) {
        sequence++;
        String json =
                "{\"backend\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"capacity\":8,"
                        + "\"state\":\"%s\",\"sequence\":%d}";
        return json.formatted(state, sequence).getBytes(StandardCharsets.UTF_8);
    }

    private void draining() {
        cluster.history.recordDeparted(id(), cluster.clock.now());
        cluster.clock.schedule(2 * HEARTBEAT_INTERVAL_MS, this::sendDeparture);
    }

    private void departed() {
        cluster.history.recordDeparted(id(), cluster.clock.now());
        cluster.clock.schedule(HEARTBEAT_INTERVAL_MS, this::start);
    }

    /** Calls one node after the other until one acknowledges; a heartbeat is not repeated. */
    private void call(String method, byte[] body, Runnable onAcknowledged) {
        boolean isRepeated = isLeaving();
        client.call(
                client.anyNode(),
                method,
                "/instances/" + id(),
                ExternalClient.NO_IF_MATCH,
                body,
                response -> {
                    if (response != null && response.status() == OK) {
                        onAcknowledged.run();
                    } else if (isRepeated) {
                        cluster.clock.schedule(RETRY_MS, () -> call(method, body, onAcknowledged));
                    }
                });
    }
}
