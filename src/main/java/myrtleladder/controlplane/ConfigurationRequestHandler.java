package myrtleladder.controlplane;

import java.util.Map;
import myrtleladder.configuration.Compression;
import myrtleladder.configuration.ConfigurationDocument;
import myrtleladder.configuration.JsonCodec;
import myrtleladder.http.ServerExchange;
import myrtleladder.replication.Replica;
import myrtleladder.replication.StateChange;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Handles {@code GET}, {@code PUT} and {@code PATCH /config} on the primary. A change is processed
 * in these steps:
 *
 * <ol>
 *   <li>it waits for the requests before it and for the confirmation that this node is still
 *       primary ({@link OperatorRequestQueue});
 *   <li>it is validated against the committed configuration ({@link ChangeValidation});
 *   <li>all replicas of the view store it ({@link Replica#submit});
 *   <li>it becomes the {@link CommittedConfiguration}, whose listener sends it to the balancers
 *       with a waiting {@link LongPoll};
 *   <li>it is acknowledged.
 * </ol>
 *
 * <p>If the outcome is unknown, the response is 503 and the operator retries the same request.
 * Confined to the event loop.
 */
final class ConfigurationRequestHandler {
    private static final Logger LOG = LogManager.getLogger(ConfigurationRequestHandler.class);

    private final OperatorRequestQueue queue;
    private final CommittedConfiguration committed;
    private Replica replica;

    ConfigurationRequestHandler(OperatorRequestQueue queue, CommittedConfiguration committed) {
        this.queue = queue;
        this.committed = committed;
    }

    /** Sets the replica that stores the configuration. Must be called before any other method. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** Queues a request. */
    void handle(ServerExchange exchange) {
        ConfigurationRequest request = ConfigurationRequest.of(exchange);
        queue.add(exchange, onProcessed -> process(request, onProcessed));
    }

    /**
     * Processes a request, after a majority has confirmed since its arrival that this node is
     * primary.
     */
    private void process(ConfigurationRequest request, Runnable onProcessed) {
        if (request.isRead()) {
            respondWithDocument(request.exchange());
            onProcessed.run();
        } else if (request.isReplacement() || request.isPatch()) {
            processChange(request, onProcessed);
        } else {
            HttpResponses.sendEmpty(request.exchange(), HttpResponses.METHOD_NOT_ALLOWED);
            onProcessed.run();
        }
    }

    private void respondWithDocument(ServerExchange exchange) {
        if (committed.isEmpty()) {
            HttpResponses.sendEmpty(exchange, HttpResponses.NOT_FOUND);
        } else {
            HttpResponses.sendJson(exchange, HttpResponses.OK, committed.documentBytes());
        }
    }

    private void processChange(ConfigurationRequest request, Runnable onProcessed) {
        ChangeValidation validation = ChangeValidation.validate(request, committed);
        if (validation instanceof ChangeValidation.Valid valid) {
            replicate(request, valid.next(), onProcessed);
        } else if (validation instanceof ChangeValidation.Rejected rejected) {
            HttpResponses.sendError(request.exchange(), rejected.status(), rejected.reason());
            onProcessed.run();
        } else {
            acknowledge(request);
            onProcessed.run();
        }
    }

    private void replicate(
            ConfigurationRequest request, ConfigurationDocument next, Runnable onProcessed) {
        replica.submit(
                StateChange.ofDocument(
                        Compression.deflate(next.bytes()), next.generation(), request.digest()),
                isCommitted -> {
                    if (isCommitted) {
                        commit(request);
                    } else {
                        HttpResponses.sendUnavailable(request.exchange());
                    }
                    onProcessed.run();
                });
    }

    private void commit(ConfigurationRequest request) {
        committed.commit(replica.snapshot());
        LOG.info(
                "committed configuration generation {} in epoch {}",
                committed.generation(),
                replica.epoch());
        acknowledge(request);
    }

    private void acknowledge(ConfigurationRequest request) {
        byte[] body = JsonCodec.serialize(Map.of("generation", committed.generation()));
        HttpResponses.sendJson(request.exchange(), HttpResponses.OK, body);
    }
}
