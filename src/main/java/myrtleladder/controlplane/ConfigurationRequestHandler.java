package myrtleladder.controlplane;

import java.util.ArrayDeque;
import java.util.Map;
import myrtleladder.configuration.Compression;
import myrtleladder.configuration.ConfigurationDocument;
import myrtleladder.configuration.Json;
import myrtleladder.http.ServerExchange;
import myrtleladder.replication.Replica;
import myrtleladder.scheduler.Scheduler;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Handles {@code GET}, {@code PUT} and {@code PATCH /config} on the primary, one request at a time.
 * The way of a change:
 *
 * <ol>
 *   <li>it waits in the queue for its turn;
 *   <li>a majority confirms that this node is still primary ({@link Replica#confirm});
 *   <li>it is checked against the committed configuration ({@link ChangeValidation});
 *   <li>all replicas of the view store it ({@link Replica#submit});
 *   <li>it becomes the {@link CommittedConfiguration}, whose listener hands it to the balancers
 *       that wait in a {@link LongPoll};
 *   <li>it is acknowledged.
 * </ol>
 *
 * <p>Where the outcome is not known the answer is 503, and the operator sends the same request
 * again. Confined to the event loop.
 */
final class ConfigurationRequestHandler {
    private static final Logger LOG = LogManager.getLogger(ConfigurationRequestHandler.class);

    /** The longest that a request waits for its turn before it is answered with 503. Chosen. */
    private static final long QUEUE_TIMEOUT_MS = 900;

    private final Scheduler scheduler;
    private final CommittedConfiguration committed;
    private final ArrayDeque<ConfigurationRequest> queue = new ArrayDeque<>();
    private Replica replica;
    private boolean isPrimary;
    private boolean isProcessing;

    ConfigurationRequestHandler(Scheduler scheduler, CommittedConfiguration committed) {
        this.scheduler = scheduler;
        this.committed = committed;
    }

    /** Sets the replica that stores the configuration; has to precede all else. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** This node became primary: it goes on from what its replica has. */
    void onPrimacyGained() {
        isPrimary = true;
        isProcessing = false;
        committed.recover(replica.snapshot());
    }

    /** This node is no longer primary: queued requests are sent to the next one. */
    void onPrimacyLost() {
        isPrimary = false;
        isProcessing = false;
        while (!queue.isEmpty()) {
            HttpResponses.redirectToPrimary(queue.poll().exchange(), replica);
        }
    }

    /** Answers requests that have waited too long and processes the next one. */
    void tick(long nowMs) {
        while (!queue.isEmpty() && nowMs - queue.peek().receivedAtMs() > QUEUE_TIMEOUT_MS) {
            HttpResponses.unavailable(queue.poll().exchange());
        }
        processNext();
    }

    /** Accepts a request. */
    void handle(ServerExchange exchange) {
        if (!isPrimary) {
            HttpResponses.redirectToPrimary(exchange, replica);
            return;
        }
        queue.add(ConfigurationRequest.of(exchange, scheduler.now()));
        processNext();
    }

    private void processNext() {
        if (isProcessing || !isPrimary || queue.isEmpty() || replica.isBusy()) {
            return;
        }
        isProcessing = true;
        ConfigurationRequest request = queue.poll();
        replica.confirm(
                isConfirmed -> {
                    if (isConfirmed) {
                        process(request);
                    } else {
                        HttpResponses.unavailable(request.exchange());
                        finish();
                    }
                });
    }

    private void finish() {
        isProcessing = false;
        processNext();
    }

    /** Processes a request; a majority has confirmed since it arrived that this node is primary. */
    private void process(ConfigurationRequest request) {
        if (request.isRead()) {
            respondWithDocument(request.exchange());
            finish();
        } else if (request.isReplacement() || request.isPatch()) {
            processChange(request);
        } else {
            HttpResponses.empty(request.exchange(), HttpResponses.METHOD_NOT_ALLOWED);
            finish();
        }
    }

    private void respondWithDocument(ServerExchange exchange) {
        if (committed.isEmpty()) {
            HttpResponses.empty(exchange, HttpResponses.NOT_FOUND);
        } else {
            HttpResponses.json(exchange, HttpResponses.OK, committed.documentBytes());
        }
    }

    private void processChange(ConfigurationRequest request) {
        ChangeValidation validation = ChangeValidation.of(request, committed);
        if (validation instanceof ChangeValidation.Valid valid) {
            replicate(request, valid.next());
        } else if (validation instanceof ChangeValidation.Rejected rejected) {
            HttpResponses.error(request.exchange(), rejected.status(), rejected.reason());
            finish();
        } else {
            acknowledge(request);
            finish();
        }
    }

    private void replicate(ConfigurationRequest request, ConfigurationDocument next) {
        replica.submit(
                Compression.deflate(next.bytes()),
                next.generation(),
                request.digest(),
                isCommitted -> {
                    if (isCommitted) {
                        commit(request);
                    } else {
                        HttpResponses.unavailable(request.exchange());
                    }
                    finish();
                });
    }

    private void commit(ConfigurationRequest request) {
        committed.commit(replica.snapshot());
        LOG.info("generation {} is committed in epoch {}", committed.generation(), replica.epoch());
        acknowledge(request);
    }

    private void acknowledge(ConfigurationRequest request) {
        byte[] body = Json.write(Map.of("generation", committed.generation()));
        HttpResponses.json(request.exchange(), HttpResponses.OK, body);
    }
}
