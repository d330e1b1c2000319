package myrtleladder.controlplane.model;

/**
 * An operator who drains one zone after the other and takes each back, and repeats each order until
 * it is acknowledged. No zone is drained twice, so that a copy of an order that arrives late can't
 * undo a later one.
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

    /** Whether each copy of the order to drain was answered, so that none can still arrive. */
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
        order("POST", zone, () -> drained(zone));
    }

    private void drained(String zone) {
        cluster.history.recordDrained(zone, cluster.clock.now());
        long drainedMs = DRAINED_MS + cluster.random.nextInt(MAX_EXTRA_DRAINED_MS);
        cluster.clock.schedule(drainedMs, () -> takeBack(zone));
    }

    private void takeBack(String zone) {
        cluster.history.recordTakeBackSent(zone);
        retryMs = INITIAL_RETRY_MS;
        order("DELETE", zone, () -> takenBack(zone));
    }

    private void takenBack(String zone) {
        if (isEachCopyAnswered) {
            cluster.history.recordTakenBack(zone, cluster.clock.now());
        }
        cluster.clock.schedule(PAUSE_MS, this::drainNext);
    }

    /** Sends an order until it is acknowledged. */
    private void order(String method, String zone, Runnable onAcknowledged) {
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
            cluster.history.addViolation(method + " of " + zone + " is refused with " + status);
        }
        cluster.clock.schedule(retryMs, () -> order(method, zone, onAcknowledged));
        retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    }
}
