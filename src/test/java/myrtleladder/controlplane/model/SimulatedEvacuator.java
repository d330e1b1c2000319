package myrtleladder.controlplane.model;

/**
 * An operator that drains and restores one zone after the other and retries each request until it
 * is acknowledged. No zone is drained twice, so that a late copy of a request cannot undo a later
 * one.
 */
final class SimulatedEvacuator {
    private static final long DRAINED_MS = 2_000;
    private static final int MAX_EXTRA_DRAINED_MS = 2_000;
    private static final long PAUSE_MS = 300;
    private static final long INITIAL_RETRY_MS = 60;
    private static final long MAX_RETRY_MS = 400;
    private static final int OK = 200;
    private static final int FIRST_REFUSAL = 400;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final byte[] NO_BODY = {};

    private final SimulatedCluster cluster;
    private final ExternalClient client;
    private int zoneCount;
    private long retryMs;

    /** Whether each copy of the drain request was answered, so that none can still arrive. */
    private boolean isEachCopyAnswered;

    SimulatedEvacuator(SimulatedCluster cluster) {
        this.cluster = cluster;
        this.client = new ExternalClient(cluster, "evacuator");
    }

    /** Drains the next zone. */
    void drainNext() {
        String zone = "zone-" + zoneCount;
        zoneCount++;
        retryMs = INITIAL_RETRY_MS;
        isEachCopyAnswered = true;
        sendUntilAcknowledged("POST", zone, () -> onDrained(zone));
    }

    private void onDrained(String zone) {
        cluster.history.recordDrained(zone, cluster.clock.now());
        long drainedMs = DRAINED_MS + cluster.random.nextInt(MAX_EXTRA_DRAINED_MS);
        cluster.clock.schedule(drainedMs, () -> restore(zone));
    }

    private void restore(String zone) {
        cluster.history.recordRestoreSent(zone);
        retryMs = INITIAL_RETRY_MS;
        sendUntilAcknowledged("DELETE", zone, () -> onRestored(zone));
    }

    private void onRestored(String zone) {
        if (isEachCopyAnswered) {
            cluster.history.recordRestored(zone, cluster.clock.now());
        }
        cluster.clock.schedule(PAUSE_MS, this::drainNext);
    }

    /** Sends a request and retries it until it is acknowledged. */
    private void sendUntilAcknowledged(String method, String zone, Runnable onAcknowledged) {
        client.call(
                client.anyNode(),
                method,
                "/drain/" + zone,
                ExternalClient.NO_IF_MATCH,
                NO_BODY,
                response -> handle(response, method, zone, onAcknowledged));
    }

    private void handle(
            SimulatedResponse response, String method, String zone, Runnable onAcknowledged) {
        int status = response == null ? 0 : response.status();
        if (status == OK) {
            onAcknowledged.run();
            return;
        }
        isEachCopyAnswered &= response != null;
        if (status >= FIRST_REFUSAL && status < FIRST_SERVER_ERROR) {
            cluster.history.addViolation(method + " of " + zone + " was refused with " + status);
        }
        cluster.clock.schedule(retryMs, () -> sendUntilAcknowledged(method, zone, onAcknowledged));
        retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    }
}
