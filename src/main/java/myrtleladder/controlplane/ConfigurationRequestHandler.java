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
 * Handles {@code GET}, {@code PUT} and {@code PATCH /config} on the primary. The way of a change:
 *
 * <ol>
 *   <li>it waits for its turn and for the confirmation that this node is still primary ({@link
 *       OperatorRequestQueue});
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

    private final OperatorRequestQueue queue;
    private final CommittedConfiguration committed;
    private Replica replica;

    ConfigurationRequestHandler(OperatorRequestQueue queue, CommittedConfiguration committed) {
        this.queue = queue;
        this.committed = committed;
    }

    /** Sets the replica that stores the configuration; has to precede all else. */
    void attach(Replica attached) {
        replica = attached;
    }

    /** Accepts a request. */
    void handle(ServerExchange exchange) {
        ConfigurationRequest request = ConfigurationRequest.of(exchange);
        queue.add(exchange, onProcessed -> process(request, onProcessed));
    }

    /** Processes a request; a majority has confirmed since it arrived that this node is primary. */
    private void process(ConfigurationRequest request, Runnable onProcessed) {
        if (request.isRead()) {
            respondWithDocument(request.exchange());
            onProcessed.run();
        } else if (request.isReplacement() || request.isPatch()) {
            processChange(request, onProcessed);
        } else {
            HttpResponses.empty(request.exchange(), HttpResponses.METHOD_NOT_ALLOWED);
            onProcessed.run();
        }
    }

    private void respondWithDocument(ServerExchange exchange) {
        if (committed.isEmpty()) {
            HttpResponses.empty(exchange, HttpResponses.NOT_FOUND);
        } else {
            HttpResponses.json(exchange, HttpResponses.OK, committed.documentBytes());
        }
    }

    private void processChange(ConfigurationRequest request, Runnable onProcessed) {
        ChangeValidation validation = ChangeValidation.of(request, committed);
        if (validation instanceof ChangeValidation.Valid valid) {
            replicate(request, valid.next(), onProcessed);
        } else if (validation instanceof ChangeValidation.Rejected rejected) {
            HttpResponses.error(request.exchange(), rejected.status(), rejected.reason());
            onProcessed.run();
        } else {
            acknowledge(request);
            onProcessed.run();
        }
    }

    private void replicate(
            ConfigurationRequest request, ConfigurationDocument next, Runnable onProcessed) {
        replica.submit(
                StateChange.toDocument(
                        Compression.deflate(next.bytes()), next.generation(), request.digest()),
                isCommitted -> {
                    if (isCommitted) {
                        commit(request);
                    } else {
                        HttpResponses.unavailable(request.exchange());
                    }
                    onProcessed.run();
                });
    }

    private void commit(ConfigurationRequest request) {
        committed.commit(replica.snapshot());
        LOG.info("generation {} is committed in epoch {}", committed.generation(), replica.epoch());
        acknowledge(request);
    }

    private void acknowledge(ConfigurationRequest request) {
        byte[] body = JsonCodec.serialize(Map.of("generation", committed.generation()));
        HttpResponses.json(request.exchange(), HttpResponses.OK, body);
    }
}
