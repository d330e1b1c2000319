package myrtleladder.controlplane.model;

/**
 * An operator that sends one change after the other and retries each unchanged until its outcome is
 * known.
 */
final class SimulatedOperator {
    private static final long PAUSE_MS = 400;
    private static final int MAX_EXTRA_PAUSE_MS = 300;
    private static final long INITIAL_RETRY_MS = 60;
    private static final long MAX_RETRY_MS = 400;
    private static final long GIVE_UP_MS = 12_000;

    /** One change out of this many is sent to two nodes at once. */
    private static final int DUPLICATES_EVERY = 4;

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int PRECONDITION_FAILED = 412;
    private static final int UNKNOWN = 0;
    private static final byte[] NO_BODY = {};

    private final SimulatedCluster cluster;
    private final String name;
    private final ExternalClient client;
    private long knownGeneration;
    private int changeCount;

    /** The change whose outcome is not known yet, null if there is none. */
    private OperatorChange changeInFlight;

    private long startedAtMs;
    private long retryMs;
    private double responseLossRatio;

    SimulatedOperator(SimulatedCluster cluster, String name) {
        this.cluster = cluster;
        this.name = name;
        this.client = new ExternalClient(cluster, name);
    }

    /** Sets the ratio of responses that are lost, from 0 to 1. */
    void setResponseLossRatio(double ratio) {
        responseLossRatio = ratio;
    }

    /** Starts the next change. */
    void startChange() {
        long generation = knownGeneration + 1 + cluster.random.nextInt(2);
        changeInFlight = new OperatorChange(name + "-" + changeCount, knownGeneration, generation);
        changeCount++;
        startedAtMs = cluster.clock.now();
        retryMs = INITIAL_RETRY_MS;
        cluster.history.recordSent(changeInFlight);
        send();
        if (cluster.random.nextInt(DUPLICATES_EVERY) == 0) {
            send();
        }
    }

    private void send() {
        OperatorChange sent = changeInFlight;
        client.call(
                client.anyNode(),
                "PUT",
                "/config",
                sent.base(),
                sent.body(),
                response -> handle(sent, response));
    }

    /** Handles the response to any copy of a change; null if none arrived in time. */
    @SuppressWarnings("ReferenceEquality") // the change in flight itself, not an equal one
    private void handle(OperatorChange sent, SimulatedResponse response) {
        boolean isLost = cluster.random.nextDouble() < responseLossRatio;
        int status = response == null || isLost ? UNKNOWN : response.status();
        boolean isRejected = status == PRECONDITION_FAILED || status == BAD_REQUEST;
        if (status == OK) {
            cluster.history.recordAcknowledged(sent, cluster.clock.now());
            knownGeneration = Math.max(knownGeneration, sent.generation());
        } else if (isRejected) {
            cluster.history.recordRejected(sent, status);
        }
        if (sent != changeInFlight) {
            return;
        }
        if (status == OK) {
            changeInFlight = null;
            pause();
        } else if (isRejected || cluster.clock.now() - startedAtMs > GIVE_UP_MS) {
            changeInFlight = null;
            read();
        } else {
            cluster.clock.schedule(retryMs, () -> retry(sent));
            retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
        }
    }

    @SuppressWarnings("ReferenceEquality") // the change in flight itself, not an equal one
    private void retry(OperatorChange sent) {
        if (sent == changeInFlight) {
            send();
        }
    }

    private void pause() {
        long pauseMs = PAUSE_MS + cluster.random.nextInt(MAX_EXTRA_PAUSE_MS);
        cluster.clock.schedule(pauseMs, this::startChange);
    }

    /** Reads the current generation before the next change. */
    private void read() {
        long minGeneration = cluster.history.newestAcknowledgedGeneration();
        client.call(
                client.anyNode(),
                "GET",
                "/config",
                ExternalClient.NO_IF_MATCH,
                NO_BODY,
                response -> {
                    if (response == null || response.status() != OK) {
                        cluster.clock.schedule(MAX_RETRY_MS, this::read);
                        return;
                    }
                    knownGeneration = cluster.checkRead(response.body(), minGeneration, name);
                    startChange();
                });
    }
}
