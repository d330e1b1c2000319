package myrtleladder.controlplane.model;

/** Repeatedly reads the configuration at random nodes, partitioned or not. */
final class SimulatedReader {
    private static final long PAUSE_MS = 350;
    private static final int MAX_EXTRA_PAUSE_MS = 100;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final byte[] NO_BODY = {};

    private final SimulatedCluster cluster;
    private final ExternalClient client;

    SimulatedReader(SimulatedCluster cluster) {
        this.cluster = cluster;
        this.client = new ExternalClient(cluster, "reader");
    }

    /** Reads once, and again after a pause. */
    void read() {
        long pauseMs = PAUSE_MS + cluster.random.nextInt(MAX_EXTRA_PAUSE_MS);
        cluster.clock.schedule(pauseMs, this::read);
        long minGeneration = cluster.history.newestAcknowledgedGeneration();
        SimulatedNode node = client.anyNode();
        client.call(
                node,
                "GET",
                "/config",
                ExternalClient.NO_IF_MATCH,
                NO_BODY,
                response -> check(response, minGeneration, node));
    }

    private void check(SimulatedResponse response, long minGeneration, SimulatedNode node) {
        if (response == null) {
            return;
        }
        if (response.status() == OK) {
            cluster.checkRead(response.body(), minGeneration, "read at " + node.address);
        } else if (response.status() == NOT_FOUND && minGeneration > 0) {
            cluster.history.addViolation("no configuration at " + node.address);
        }
    }
}
