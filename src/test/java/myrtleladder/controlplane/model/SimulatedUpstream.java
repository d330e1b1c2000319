package myrtleladder.controlplane.model;

import java.nio.charset.StandardCharsets;

/**
 * An upstream that sends heartbeats for a while and retries its departure until it is acknowledged;
 * then its next incarnation starts.
 */
final class SimulatedUpstream {
    private static final long HEARTBEAT_INTERVAL_MS = 1_200;
    private static final long RETRY_MS = 100;
    private static final long MIN_LIFETIME_MS = 1_000;
    private static final int MAX_EXTRA_LIFETIME_MS = 3_000;

    /** One incarnation out of this many departs without draining first. */
    private static final int DEPARTURES_WITHOUT_DRAINING_EVERY = 3;

    private static final int OK = 200;
    private static final byte[] NO_BODY = {};

    private final SimulatedCluster cluster;
    private final String name;
    private final ExternalClient client;
    private int incarnation;
    private int sequence;
    private long departsAtMs;
    private boolean departsWithoutDraining;

    SimulatedUpstream(SimulatedCluster cluster, String name) {
        this.cluster = cluster;
        this.name = name;
        this.client = new ExternalClient(cluster, name);
    }

    /** Starts the next incarnation. */
    void start() {
        incarnation++;
        sequence = 0;
        departsAtMs =
                cluster.clock.now()
                        + MIN_LIFETIME_MS
                        + cluster.random.nextInt(MAX_EXTRA_LIFETIME_MS);
        departsWithoutDraining = cluster.random.nextInt(DEPARTURES_WITHOUT_DRAINING_EVERY) == 0;
        sendHeartbeat();
    }

    private String id() {
        return name + "-" + incarnation;
    }

    private boolean isDeparting() {
        return cluster.clock.now() >= departsAtMs;
    }

    private void sendHeartbeat() {
        if (isDeparting()) {
            startDeparture();
            return;
        }
        call("PUT", heartbeat("ready"), () -> {});
        cluster.clock.schedule(HEARTBEAT_INTERVAL_MS, this::sendHeartbeat);
    }

    private void startDeparture() {
        if (departsWithoutDraining) {
            sendDeparture();
        } else {
            call("PUT", heartbeat("draining"), this::onDrainingAcknowledged);
        }
    }

    private void sendDeparture() {
        call("DELETE", NO_BODY, this::onDepartureAcknowledged);
    }

    private byte[] heartbeat(String state) {
        sequence++;
        String json =
                "{\"backend\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"capacity\":8,"
                        + "\"state\":\"%s\",\"sequence\":%d}";
        return json.formatted(state, sequence).getBytes(StandardCharsets.UTF_8);
    }

    private void onDrainingAcknowledged() {
        cluster.history.recordDeparted(id(), cluster.clock.now());
        cluster.clock.schedule(2 * HEARTBEAT_INTERVAL_MS, this::sendDeparture);
    }

    private void onDepartureAcknowledged() {
        cluster.history.recordDeparted(id(), cluster.clock.now());
        cluster.clock.schedule(HEARTBEAT_INTERVAL_MS, this::start);
    }

    /** Calls random nodes until one acknowledges; a heartbeat is not retried. */
    private void call(String method, byte[] body, Runnable onAcknowledged) {
        boolean isRepeated = isDeparting();
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
